"""Tenants over the platform's own interfaces, end to end on loopback."""

from pathlib import Path
from typing import Any

import anyio

from mulberryhitch.jobs.model import Step
from tests.platform_harness import (
    SCHEDULERS,
    PlatformHarness,
    make_configuration,
)

STEP = {'cpu': 1000, 'mem_mb': 100, 'estimate_ms': 200}
JOB = {'steps': [{'count': 2, **STEP}]}
WIDE = {'steps': [{'count': 3, 'gang': True, **STEP}]}
JOB_ID = '5c0e7a21d94b36f8'
OTHER_ID = '8f63b49d12a7e0c5'
OPEN_PATH = f'/open/{OTHER_ID}'
PATH = f'/q/{JOB_ID}'


def make_tenants(version: int, **keys: str) -> dict[str, Any]:
    """Returns a configuration with a key for each tenant, and an open route."""
    content = make_configuration(version)
    route = content['routes'][0]
    content['routes'].append(
        {**route, 'name': 'o', 'path_prefix': '/open/', 'public': True}
    )
    cap = {'cpu': 2000, 'mem_mb': 0, 'gpu': 0}
    content['tenants'] = [
        {'name': name, 'api_keys': [key], 'weight': 2, 'cap': cap}
        for name, key in keys.items()
    ]
    return content


def test_only_callers_with_a_key_are_served(tmp_path: Path) -> None:
    """Guards against a part of the way that drops or ignores a key."""

    async def main() -> None:
        harness = PlatformHarness(tmp_path)
        harness.fleet.step_of = lambda task: Step(  # type: ignore[method-assign]
            1, 1000, 100, estimate_seconds=0.2
        )
        async with harness.running():
            configuration = make_tenants(4, mill='m', baker='b')
            put = (SCHEDULERS[0], 'PUT', '/config', configuration)
            await harness.retry_until_status(200, harness.send, *put)
            await _check_owners(harness)
            await _check_changes(harness)
            await _check_without_a_leader(harness)

    anyio.run(main)


async def _status(harness: PlatformHarness, *request: Any) -> int:
    return (await harness.send_to_queue(*request)).status


async def _check_owners(harness: PlatformHarness) -> None:
    post = ('POST', PATH, JOB)
    await harness.retry_until_status(200, harness.send_to_queue, *post, 'm')
    for method in ('POST', 'GET', 'DELETE'):
        assert await _status(harness, method, PATH, JOB) == 401
        assert await _status(harness, method, PATH, JOB, 'x') == 401
        assert await _status(harness, method, '/none/j', JOB, 'x') == 404
    assert await _status(harness, *post, 'b') == 409
    assert await _status(harness, 'GET', PATH, None, 'b') == 410
    assert await _status(harness, 'DELETE', PATH, None, 'b') == 410
    assert await _status(harness, 'POST', f'/q/{OTHER_ID}', WIDE, 'm') == 429
    assert await _status(harness, 'POST', OPEN_PATH, JOB) == 200
    assert await _status(harness, 'GET', OPEN_PATH) == 200
    with anyio.fail_after(40):
        state = ''
        while state != 'completed':
            response = await harness.send_to_queue('GET', PATH, None, 'm')
            state = response.content['state']
            await anyio.sleep(0.02)


async def _check_changes(harness: PlatformHarness) -> None:
    """Checks invalid configurations, and one that removes and adds a key."""
    shared = make_tenants(5, mill='m', baker='m')
    response = await harness.send(SCHEDULERS[1], 'PUT', '/config', shared)
    assert response.status == 400
    assert await _status(harness, 'GET', PATH, None, 'm') == 200
    changed = make_tenants(5, mill='n', baker='b')
    response = await harness.send(SCHEDULERS[1], 'PUT', '/config', changed)
    assert response.status == 200
    assert await _status(harness, 'GET', PATH, None, 'm') == 401
    assert await _status(harness, 'GET', PATH, None, 'n') == 200


async def _check_without_a_leader(harness: PlatformHarness) -> None:
    """Checks that nothing is served once no scheduler can be reached."""
    assert harness.entry is not None
    with anyio.fail_after(40):
        while harness.entry._shared.known_keys.version != 5:
            await anyio.sleep(0.05)
    for stop in SCHEDULERS:
        harness.stop_events[stop].set()
    await harness.retry_until_status(
        503, harness.send_to_queue, 'GET', PATH, None, 'n'
    )
    for key in ('m', 'x', ''):
        status = await _status(harness, 'GET', PATH, None, key)
        assert status in {401, 502, 503}
    await harness.retry_until_status(
        503, harness.send_to_queue, 'GET', OPEN_PATH
    )
