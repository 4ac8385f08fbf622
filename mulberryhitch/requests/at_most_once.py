"""Sends non-idempotent requests at most once, recorded in the ledger."""

import hashlib
import time
import uuid
from collections.abc import Awaitable, Callable

import anyio

from mulberryhitch.constants import (
    CLOCK_DRIFT_SECONDS,
    STORED_RESPONSE_LIMIT_BYTES,
)
from mulberryhitch.errors import (
    CompletedBeforeError,
    InProgressError,
    MulberryhitchError,
    NoQuorumError,
    OutcomeUnknownError,
)
from mulberryhitch.outcomes import Outcome
from mulberryhitch.requests.ledger import (
    EntryState,
    LedgerEntry,
    StoredResponse,
)
from mulberryhitch.requests.messages import ServiceRequest, ServiceResponse
from mulberryhitch.requests.ports import LedgerClient

_MIN_LOOK_UP_SECONDS = 0.2

REPLAYED_HEADER = b'Mulberryhitch-Replayed'


class AtMostOnceSender:
    """Records the intent before each request, and its outcome afterwards.

    Args:
        ledger: Stores intents and outcomes.
        find_ledger_home: Returns the ledger home of a tenant's key.
    """

    def __init__(
        self, ledger: LedgerClient, find_ledger_home: Callable[[str, str], str]
    ) -> None:
        """Initialises the sender."""
        self._ledger = ledger
        self._find_ledger_home = find_ledger_home

    async def run(
        self,
        request: ServiceRequest,
        send: Callable[[], Awaitable[ServiceResponse]],
    ) -> ServiceResponse:
        """Sends the request, or returns the response from the ledger.

        Raises:
            MulberryhitchError: The ledger refused the request, or sending it
                failed; the error's outcome shows whether it may have run.
        """
        home = self._find_ledger_home(request.tenant, request.key)
        intent = _make_intent(request)
        remaining_seconds = max(request.deadline - anyio.current_time(), 0)
        entry = await self._ledger.begin(home, intent, remaining_seconds)
        if entry.request_id != intent.request_id:
            return replayed_response(entry)
        request.in_ledger = True
        try:
            response = await send()
        except BaseException as error:
            with anyio.CancelScope(shield=True):
                await self._record_failure(home, intent, error)
            raise
        with anyio.CancelScope(shield=True):
            await self._ledger.finish(
                home, intent, _to_stored_response(response)
            )
        return response

    async def replay(self, request: ServiceRequest) -> ServiceResponse | None:
        """Returns the response to an earlier request with the same key.

        None if there was no such request, or the ledger did not answer.

        Raises:
            MulberryhitchError: An earlier request with this key is in progress,
                may have run, or was a different one.
        """
        home = self._find_ledger_home(request.tenant, request.key)
        intent = _make_intent(request)
        remaining_seconds = request.deadline - anyio.current_time()
        try:
            entry = await self._ledger.begin(
                home, intent, max(remaining_seconds, _MIN_LOOK_UP_SECONDS)
            )
        except NoQuorumError:
            return None
        if entry.request_id != intent.request_id:
            return replayed_response(entry)
        with anyio.CancelScope(shield=True):
            await self._ledger.release(home, intent)
        return None

    async def _record_failure(
        self, home: str, intent: LedgerEntry, error: BaseException
    ) -> None:
        outcome = Outcome.unknown
        if isinstance(error, MulberryhitchError):
            outcome = error.outcome
        if outcome is Outcome.not_run:
            await self._ledger.release(home, intent)
        else:
            await self._ledger.mark_unknown(home, intent)


def replayed_response(entry: LedgerEntry) -> ServiceResponse:
    """Returns the stored response for a repeated request.

    Raises:
        InProgressError: The first request is still in progress.
        OutcomeUnknownError: The outcome of the first request is unknown.
        CompletedBeforeError: The first response is not stored: it was too
            long, or was removed to make room for later ones.
    """
    if entry.state is EntryState.in_progress:
        raise InProgressError(
            'the first request with this key is still in progress',
            where='Idempotency-Key',
            retry_after_seconds=1,
        )
    if entry.answer is None:
        raise OutcomeUnknownError(
            'the first request with this key may have run',
            where='Idempotency-Key',
        )
    if not entry.answer.whole:
        raise CompletedBeforeError(
            'the request already completed; its response is not stored: it '
            f'exceeds {STORED_RESPONSE_LIMIT_BYTES} bytes, or was removed to '
            'make room for later ones',
            where='Idempotency-Key',
        )
    headers = [(REPLAYED_HEADER, b'true')]
    if entry.answer.content_type:
        content_type = entry.answer.content_type.encode()
        headers.append((b'Content-Type', content_type))
    return ServiceResponse(entry.answer.status, headers, entry.answer.body)


def _make_intent(request: ServiceRequest) -> LedgerEntry:
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
    remaining_seconds = max(request.deadline - anyio.current_time(), 0)
    return LedgerEntry(
        request.tenant,
        request.key,
        digest.hexdigest(),
        uuid.uuid4().hex,
        now,
        now + remaining_seconds + CLOCK_DRIFT_SECONDS,
    )


def _to_stored_response(response: ServiceResponse) -> StoredResponse:
    whole = (
        response.remaining_body is None
        and len(response.body) <= STORED_RESPONSE_LIMIT_BYTES
    )
    return StoredResponse(
        response.status,
        response.header(b'content-type').decode('latin-1'),
        response.body if whole else b'',
        whole,
    )
