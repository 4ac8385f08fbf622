"""Fakes and test data for the adapter's clients of the workers."""

from typing import Any

from mulberryhitch.dispatch.ports import StartCommand
from mulberryhitch.jobs.model import TaskKey, WorkerRecord
from mulberryhitch.platform.client import JsonResponse, PlatformClient

START = StartCommand(TaskKey('a', 0, 0, 0), 1, '', '', 1, 0, '')


class AnsweringClient(PlatformClient):
    """A client whose every request is answered with 200 and this content."""

    def __init__(self, content: dict[str, Any]) -> None:
        super().__init__()
        self._content = content

    async def send(self, *args: Any, **options: Any) -> JsonResponse:
        return JsonResponse(200, self._content)


def make_worker(
    worker_id: str = 'i-1', address: str = '127.0.0.1:1'
) -> WorkerRecord:
    return WorkerRecord(
        worker_id, address, 'svc', 'a', 'r1', ('k', 'r1'), 8000, 64_000, 0, 1
    )
