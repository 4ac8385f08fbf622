"""What an entry makes of keys, with and without a leader."""

from typing import Any

import anyio
import pytest

from mulberryhitch.dispatch import access
from mulberryhitch.dispatch.access import KnownKeys, lasting_time
from mulberryhitch.dispatch.operations import CallerKeys, GroupInfo, JobReply
from mulberryhitch.errors import (
    MulberryhitchError,
    NoQuorumError,
    UnauthenticatedError,
)
from mulberryhitch.jobs.model import Limits
from mulberryhitch.observability.log import Log
from mulberryhitch.platform.asgi import HttpRequest
from mulberryhitch.platform.ingress import IngressHandler
from tests.replica_group import run_with_mock_clock
from tests.tenant_data import digest

KEYS = CallerKeys(True, (digest('known'),), (('h', '/open/'),))


class RecordingClient:
    """A leader client that keeps the operations, or finds no leader."""

    def __init__(self, error: MulberryhitchError | None = None) -> None:
        self.operations: list[Any] = []
        self.error = error

    async def execute(
        self, group: str, operation: Any, reply_type: Any, seconds: float
    ) -> JobReply:
        self.operations.append(operation)
        if self.error is not None:
            raise self.error
        return JobReply('queued')


def told(version: int, caller_keys: CallerKeys | None) -> GroupInfo:
    return GroupInfo('vm', ('vm',), version, Limits(), caller_keys)


def make_request(
    authorization: str, path: str = '/q/j', method: str = 'GET'
) -> HttpRequest:
    body = b'{"steps":[{"count":1}]}'
    return HttpRequest(method, 'h', path, body, 1, authorization)


@pytest.mark.parametrize(
    ('header', 'key'),
    [
        ('Bearer known', 'known'),
        ('bearer  known ', 'known'),
        ('Bearer', ''),
        ('Bearer ', ''),
        ('Basic known', ''),
        ('known', ''),
        ('', ''),
        ('Bearer other', 'other'),
        # The header's bytes, as the interface decodes them.
        ('Bearer voilà'.encode().decode('latin-1'), 'voilà'),
    ],
)
@pytest.mark.parametrize('method', ['GET', 'POST', 'DELETE'])
def test_the_key_goes_to_the_leader_as_a_digest(
    header: str, key: str, method: str
) -> None:
    """Guards against keys in messages, and against a missing one that counts."""

    async def main() -> None:
        client = RecordingClient()
        handler = IngressHandler(client, KnownKeys(), Log('e').count)
        response = await handler.respond(make_request(header, method=method))
        assert response.status == 200
        assert client.operations[0].key_digest == digest(key)

    run_with_mock_clock(main)


def test_an_entry_without_a_leader_denies_only_unknown_keys() -> None:
    """Guards against 401 for a key that is valid or not needed."""

    async def main() -> None:
        keys = KnownKeys()
        log = Log('e')
        client = RecordingClient(NoQuorumError('none'))
        handler = IngressHandler(client, keys, log.count)
        with pytest.raises(NoQuorumError):
            await handler.respond(make_request('Bearer other'))
        keys.update(told(3, KEYS), lasting_time())
        for header in ('Bearer other', ''):
            with pytest.raises(UnauthenticatedError):
                await handler.respond(make_request(header))
        assert log.counts['request.unauthenticated'] == 2
        with pytest.raises(NoQuorumError):
            await handler.respond(make_request('Bearer known'))
        with pytest.raises(NoQuorumError):
            await handler.respond(make_request('', '/open/j'))

    run_with_mock_clock(main)


def test_an_entry_that_was_told_long_ago_denies_no_key() -> None:
    """Guards against 401 for a key added while the entry was cut off."""

    async def main() -> None:
        keys = KnownKeys()
        keys.update(told(3, KEYS), lasting_time())
        assert keys.deny('h', '/q/j', digest('other'))
        await anyio.sleep(1.9)
        assert keys.deny('h', '/q/j', digest('other'))
        # The reply names no keys: they are those of version 3.
        keys.update(told(3, None), lasting_time())
        await anyio.sleep(1.9)
        assert keys.deny('h', '/q/j', digest('other'))
        await anyio.sleep(0.2)
        assert not keys.deny('h', '/q/j', digest('other'))

    run_with_mock_clock(main)


def test_an_entry_follows_the_newest_keys_it_was_told() -> None:
    async def main() -> None:
        keys = KnownKeys()
        keys.update(told(3, KEYS), lasting_time())
        later = CallerKeys(True, (digest('other'),))
        keys.update(told(4, later), lasting_time())
        assert keys.version == 4
        assert keys.deny('h', '/q/j', digest('known'))
        assert not keys.deny('h', '/q/j', digest('other'))
        keys.update(told(5, CallerKeys(required=False)), lasting_time())
        assert not keys.deny('h', '/q/j', '')
        keys.update(told(4, later), lasting_time())
        # A leader of an earlier release tells a version and no keys.
        keys.update(told(6, None), lasting_time())
        assert keys.version == -1
        assert not keys.deny('h', '/q/j', digest('known'))

    run_with_mock_clock(main)


def test_a_suspended_entry_takes_what_it_was_told_for_old(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 401 for a key added while the VM was suspended."""

    async def main() -> None:
        keys = KnownKeys()
        keys.update(told(3, KEYS), lasting_time())
        assert keys.deny('h', '/q/j', digest('other'))
        suspended = access.suspended_seconds() + 3
        monkeypatch.setattr(access, 'suspended_seconds', lambda: suspended)
        assert not keys.deny('h', '/q/j', digest('other'))

    run_with_mock_clock(main)
