"""Sends a non-idempotent request once, with its intent in the ledger."""

import hashlib
import time
import uuid
from collections.abc import Awaitable, Callable

import anyio

from mulberryhitch.constants import CLOCK_DRIFT_SECONDS, STORED_ANSWER_BYTES
from mulberryhitch.errors import (
    CompletedBeforeError,
    InProgressError,
    MulberryhitchError,
    OutcomeUnknownError,
)
from mulberryhitch.outcomes import Outcome
from mulberryhitch.requests.ledger import (
    EntryState,
    LedgerEntry,
    StoredAnswer,
)
from mulberryhitch.requests.messages import ServiceAnswer, ServiceRequest
from mulberryhitch.requests.ports import LedgerClient

REPLAYED_HEADER = b'Mulberryhitch-Replayed'


class OnceSender:
    """Keeps the intent before, and the end after, each request.

    Args:
        ledger: Keeps them.
        home_of: The ledger's home for a tenant's key.
    """

    def __init__(
        self, ledger: LedgerClient, home_of: Callable[[str, str], str]
    ) -> None:
        """Sends nothing yet."""
        self._ledger = ledger
        self._home_of = home_of

    async def run(
        self,
        request: ServiceRequest,
        send: Callable[[], Awaitable[ServiceAnswer]],
    ) -> ServiceAnswer:
        """Sends the request, or answers from the ledger.

        Raises:
            MulberryhitchError: The ledger refused it, or the sending failed;
                the type's outcome says whether it may have run.
        """
        home = self._home_of(request.tenant, request.key)
        intent = _intent(request)
        left = max(request.deadline - anyio.current_time(), 0)
        known = await self._ledger.begin(home, intent, left)
        if known.request_id != intent.request_id:
            return replayed(known)
        try:
            answer = await send()
        except BaseException as error:
            with anyio.CancelScope(shield=True):
                await self._note_failure(home, intent, error)
            raise
        with anyio.CancelScope(shield=True):
            await self._ledger.finish(home, intent, _stored(answer))
        return answer

    async def _note_failure(
        self, home: str, intent: LedgerEntry, error: BaseException
    ) -> None:
        outcome = Outcome.unknown
        if isinstance(error, MulberryhitchError):
            outcome = error.outcome
        if outcome is Outcome.not_run:
            await self._ledger.release(home, intent)
        else:
            await self._ledger.give_up(home, intent)


def replayed(known: LedgerEntry) -> ServiceAnswer:
    """The answer to a resend of a request in the ledger.

    Raises:
        InProgressError: The first one is still being carried out.
        OutcomeUnknownError: Nobody knows what became of it.
        CompletedBeforeError: It completed with an answer too long to keep.
    """
    if known.state is EntryState.in_progress:
        raise InProgressError(
            'the first request with this key is being carried out',
            where='Idempotency-Key',
            retry_after_seconds=1,
        )
    if known.answer is None:
        raise OutcomeUnknownError(
            'the first request with this key may have run',
            where='Idempotency-Key',
        )
    if not known.answer.whole:
        raise CompletedBeforeError(
            'it completed before; its answer was too long to be kept',
            where='Idempotency-Key',
        )
    headers = [(REPLAYED_HEADER, b'true')]
    if known.answer.content_type:
        content_type = known.answer.content_type.encode()
        headers.append((b'Content-Type', content_type))
    return ServiceAnswer(known.answer.status, headers, known.answer.body)


def _intent(request: ServiceRequest) -> LedgerEntry:
    digest = hashlib.sha256()
    for part in (
        request.service.encode(),
        request.method.encode(),
        request.target,
        request.body,
    ):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    now = time.time()
    left = max(request.deadline - anyio.current_time(), 0)
    return LedgerEntry(
        request.tenant,
        request.key,
        digest.hexdigest(),
        uuid.uuid4().hex,
        now,
        now + left + CLOCK_DRIFT_SECONDS,
    )


def _stored(answer: ServiceAnswer) -> StoredAnswer:
    whole = answer.rest is None and len(answer.body) <= STORED_ANSWER_BYTES
    return StoredAnswer(
        answer.status,
        answer.header(b'content-type').decode('latin-1'),
        answer.body if whole else b'',
        whole,
    )
