"""HTTP clients of the workers and of the permit service."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

from mulberryhitch.constants import MILLISECONDS_PER_SECOND
from mulberryhitch.dispatch.ports import StartCommand, WorkerAnswer, WorkerView
from mulberryhitch.errors import (
    OverloadedError,
    ProtocolError,
    UnreachableError,
)
from mulberryhitch.jobs.model import StepKey, TaskKey, WorkerRecord
from mulberryhitch.observability.log import Log
from mulberryhitch.platform.client import JsonResponse, PlatformClient
from mulberryhitch.platform.run_lists import read_integer, read_worker_view
from mulberryhitch.platform.wire import step_name, task_name

_POLL_MARGIN_SECONDS = 0.6

_ANSWERS_BY_REASON = {
    'fence': WorkerAnswer.fenced,
    'old': WorkerAnswer.stale,
    'late': WorkerAnswer.expired,
    'room': WorkerAnswer.no_room,
    'ticket': WorkerAnswer.no_permit,
}


class PlatformWorkerClient:
    """Client of the platform's workers.

    Args:
        client: Sends the HTTP requests.
        command_timeout_seconds: Time-out of start and stop commands.
        log: Receives refused starts and the number of malformed rows.
    """

    def __init__(
        self, client: PlatformClient, command_timeout_seconds: float, log: Log
    ) -> None:
        """Initialises the client."""
        self._client = client
        self._command_timeout_seconds = command_timeout_seconds
        self._log = log

    async def start(
        self, worker: WorkerRecord, command: StartCommand
    ) -> tuple[WorkerAnswer, int]:
        """Starts a run.

        Returns:
            The answer, and the time on the worker's clock in milliseconds;
            zero if the response did not contain it.

        Raises:
            ProtocolError: The clock in the response is not an integer.
        """
        content: dict[str, Any] = {
            'task': task_name(command.task),
            'run': command.run,
            'spec': command.argument,
            # Milliseconds on the worker's clock; renews all its leases.
            'until_ms': command.lease_until,
            'fencing_token': command.fence,
        }
        if command.checkpoint:
            content['checkpoint'] = command.checkpoint
        if command.ticket:
            content['ticket'] = command.ticket
        response = await self._call(worker, '/run-start', content)
        worker_answer = _worker_answer(response)
        if worker_answer is WorkerAnswer.refused:
            self._log.event(
                'worker.refused',
                worker=worker.worker_id,
                status=response.status,
                told=response.content,
            )
        return worker_answer, read_integer(response.content, 'clock_ms', 0)

    async def stop(
        self, worker: WorkerRecord, task: TaskKey, run: int, fence: int
    ) -> WorkerAnswer:
        """Stops a run; the worker also refuses a start that arrives later.

        Raises:
            UnreachableError: The worker refused, for an unknown reason.
        """
        response = await self._call(
            worker,
            '/run-stop',
            {'task': task_name(task), 'run': run, 'fencing_token': fence},
        )
        worker_answer = _worker_answer(response)
        if worker_answer is WorkerAnswer.refused:
            raise UnreachableError(
                f'unexpected status {response.status}', where=worker.worker_id
            )
        return worker_answer

    async def poll(
        self,
        worker: WorkerRecord,
        fence: int,
        acknowledged_end: int,
        lease_until: int,
        wait_seconds: float,
    ) -> WorkerView | WorkerAnswer:
        """Renews the lease and reads the lists of running and ended runs.

        Raises:
            ProtocolError: The response has an unexpected status or content.
        """
        content = {'fencing_token': fence, 'last_seen': acknowledged_end}
        if lease_until:
            content['until_ms'] = lease_until
        if wait_seconds:
            wait = int(wait_seconds * MILLISECONDS_PER_SECOND)
            content['wait_ms'] = wait
        response = await self._call(
            worker, '/hold', content, wait_seconds + _POLL_MARGIN_SECONDS
        )
        if response.status == HTTPStatus.OK:
            view, unreadable = read_worker_view(response.content)
            if unreadable:
                self._log.event(
                    'worker.unread_rows',
                    worker=worker.worker_id,
                    rows=unreadable,
                )
            return view
        worker_answer = _worker_answer(response)
        if worker_answer is WorkerAnswer.refused:
            raise ProtocolError(
                f'unexpected status {response.status}', where=worker.worker_id
            )
        return worker_answer

    async def _call(
        self,
        worker: WorkerRecord,
        path: str,
        content: dict[str, Any],
        timeout_seconds: float = 0,
    ) -> JsonResponse:
        return await self._client.send(
            worker.address,
            'POST',
            path,
            content,
            timeout_seconds or self._command_timeout_seconds,
            (('X-Expect-Instance', worker.worker_id),),
        )


class PlatformPermitClient:
    """Client of the platform's permit service.

    Args:
        client: Sends the HTTP requests.
        address: Address of the service; empty if there is none.
    """

    def __init__(self, client: PlatformClient, address: str) -> None:
        """Initialises the client."""
        self._client = client
        self._address = address

    async def ask(
        self, step: StepKey, worker_ids: Sequence[str], timeout_seconds: float
    ) -> dict[str, str]:
        """Returns the tickets, by worker id, of the workers allowed to run it.

        Raises:
            UnreachableError: No permit service is configured, or it does not
                accept connections.
            OverloadedError: The service returned a status other than 200, for
                example because its queue is full.
            ProtocolError: The response is malformed.
        """
        if not self._address:
            raise UnreachableError(
                'no permit service is configured', where='settings'
            )
        response = await self._client.send(
            self._address,
            'POST',
            '/advise',
            {'step': step_name(step), 'workers': list(worker_ids)},
            timeout_seconds,
        )
        if response.status != HTTPStatus.OK:
            raise OverloadedError(
                f'unexpected status {response.status}', where=self._address
            )
        rows = response.content.get('granted')
        if not isinstance(rows, list):
            raise ProtocolError(
                'the field granted is not a list', where=self._address
            )
        return {
            row[0]: row[1]
            for row in rows
            if isinstance(row, list) and _are_strings(row[:2])
        }


def _worker_answer(response: JsonResponse) -> WorkerAnswer:
    if response.status == HTTPStatus.OK:
        return WorkerAnswer.started
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        return WorkerAnswer.replaced
    reason = response.content.get('reason')
    if not isinstance(reason, str):
        return WorkerAnswer.refused
    return _ANSWERS_BY_REASON.get(reason, WorkerAnswer.refused)


def _are_strings(pair: list[Any]) -> bool:
    return len(pair) == 2 and all(isinstance(part, str) for part in pair)
