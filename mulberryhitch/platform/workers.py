"""Orders to workers, and questions to the permit service, on the wire."""

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
from mulberryhitch.platform.client import HttpAnswer, PlatformClient
from mulberryhitch.platform.wire import read_view, step_name, task_name

_LOOK_SECONDS = 0.6

_REASONS = {
    'fence': WorkerAnswer.fenced,
    'old': WorkerAnswer.stale,
    'late': WorkerAnswer.expired,
    'room': WorkerAnswer.no_room,
    'ticket': WorkerAnswer.no_permit,
}


class PlatformWorkers:
    """The platform's workers.

    Args:
        client: Carries the calls.
        order_seconds: How long the answer to an order is waited for.
        log: Where rows that can't be read are counted.
    """

    def __init__(
        self, client: PlatformClient, order_seconds: float, log: Log
    ) -> None:
        """Speaks to nobody yet."""
        self._client = client
        self._order_seconds = order_seconds
        self._log = log

    async def start(
        self, worker: WorkerRecord, order: StartCommand
    ) -> tuple[WorkerAnswer, int]:
        """Starts a run; returns the worker's clock too, zero if untold."""
        content: dict[str, Any] = {
            'task': task_name(order.task),
            'run': order.run,
            'spec': order.argument,
            # A time on the worker's clock; it renews all its leases.
            'until_ms': order.lease_until,
            'fencing_token': order.fence,
        }
        if order.checkpoint:
            content['checkpoint'] = order.checkpoint
        if order.permit:
            content['ticket'] = order.permit
        answer = await self._call(worker, '/run-start', content)
        verdict = _verdict(answer)
        if verdict is WorkerAnswer.refused:
            self._log.event(
                'worker.refused',
                worker=worker.worker_id,
                status=answer.status,
                told=answer.content,
            )
        return verdict, int(answer.content.get('clock_ms', 0))

    async def stop(
        self, worker: WorkerRecord, task: TaskKey, run: int, fence: int
    ) -> WorkerAnswer:
        """Stops a run, and refuses it if it should come later."""
        answer = await self._call(
            worker,
            '/run-stop',
            {'task': task_name(task), 'run': run, 'fencing_token': fence},
        )
        verdict = _verdict(answer)
        if verdict is WorkerAnswer.refused:
            raise UnreachableError(
                f'status {answer.status}', where=worker.worker_id
            )
        return verdict

    async def poll(
        self,
        worker: WorkerRecord,
        fence: int,
        acknowledged_end: int,
        lease_until: int,
        wait_seconds: float,
    ) -> WorkerView | WorkerAnswer:
        """Renews the lease and reads both lists."""
        content = {'fencing_token': fence, 'last_seen': acknowledged_end}
        if lease_until:
            content['until_ms'] = lease_until
        if wait_seconds:
            wait = int(wait_seconds * MILLISECONDS_PER_SECOND)
            content['wait_ms'] = wait
        answer = await self._call(
            worker, '/hold', content, wait_seconds + _LOOK_SECONDS
        )
        if answer.status == HTTPStatus.OK:
            view, unread = read_view(answer.content)
            if unread:
                self._log.event(
                    'worker.unread_rows',
                    worker=worker.worker_id,
                    rows=unread,
                )
            return view
        verdict = _verdict(answer)
        if verdict is WorkerAnswer.refused:
            raise ProtocolError(
                f'status {answer.status}', where=worker.worker_id
            )
        return verdict

    async def _call(
        self,
        worker: WorkerRecord,
        path: str,
        content: dict[str, Any],
        timeout_seconds: float = 0,
    ) -> HttpAnswer:
        return await self._client.send(
            worker.address,
            'POST',
            path,
            content,
            timeout_seconds or self._order_seconds,
            (('X-Expect-Instance', worker.worker_id),),
        )


class PlatformPermits:
    """The platform's permit service.

    Args:
        client: Carries the calls.
        address: The service's; empty if there is none.
    """

    def __init__(self, client: PlatformClient, address: str) -> None:
        """Asks nothing yet."""
        self._client = client
        self._address = address

    async def ask(
        self, step: StepKey, worker_ids: Sequence[str], timeout_seconds: float
    ) -> dict[str, str]:
        """The permits of those workers that may run the step.

        Raises:
            UnreachableError: There is no such service.
            OverloadedError: Too many questions wait there.
            ProtocolError: The answer can't be read.
        """
        if not self._address:
            raise UnreachableError('no permit service', where='settings')
        answer = await self._client.send(
            self._address,
            'POST',
            '/advise',
            {'step': step_name(step), 'workers': list(worker_ids)},
            timeout_seconds,
        )
        if answer.status != HTTPStatus.OK:
            raise OverloadedError(
                f'status {answer.status}', where=self._address
            )
        rows = answer.content.get('granted')
        if not isinstance(rows, list):
            raise ProtocolError('no rows', where=self._address)
        return {
            str(row[0]): str(row[1])
            for row in rows
            if isinstance(row, list) and len(row) > 1
        }


def _verdict(answer: HttpAnswer) -> WorkerAnswer:
    if answer.status == HTTPStatus.OK:
        return WorkerAnswer.started
    if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
        return WorkerAnswer.replaced
    reason = str(answer.content.get('reason', ''))
    return _REASONS.get(reason, WorkerAnswer.refused)
