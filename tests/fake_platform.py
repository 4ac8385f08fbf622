"""Fakes and test data for the adapter's clients of the workers."""

from typing import Any

import orjson

from mulberryhitch.dispatch.ports import StartCommand
from mulberryhitch.jobs.model import TaskKey, WorkerRecord
from mulberryhitch.platform.client import JsonResponse, PlatformClient

# A scope of an IPv6 address that is too long for a label of a host name.
SCOPE = 'f' * 64
# As deep as the JSON parser allows.
DEEPLY_NESTED: Any = orjson.loads('[' * 1000 + ']' * 1000)

START = StartCommand(TaskKey('a', 0, 0, 0), 1, '', '', 1, 0, '')


class AnsweringClient(PlatformClient):
    """A client whose every request gets this content and status."""

    def __init__(self, content: dict[str, Any], status: int = 200) -> None:
        super().__init__()
        self._content = content
        self._status = status

    async def send(self, *args: Any, **options: Any) -> JsonResponse:
        return JsonResponse(self._status, self._content)


def make_worker(
    worker_id: str = 'i-1',
    address: str = '127.0.0.1:1',
    service: str = 'svc',
) -> WorkerRecord:
    return WorkerRecord(
        worker_id, address, service, 'a', 'r1', ('k', 'r1'), 8000, 64_000, 0, 1
    )


def make_heartbeat(**fields: Any) -> dict[str, Any]:
    """Returns the body of a worker's heartbeat."""
    return {
        'service': 'svc',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'state': 'ready',
        'capacity': {'cpu': 1, 'mem_mb': 1},
        'labels': ['a', 'r1'],
        'clock_ms': 1,
        'sequence': 1,
        'born': 7,
        **fields,
    }
