"""Routes requests to backend servers, over at most one hop.

The owner of a server's slots sends requests to it. Any other entry forwards a
request to an owner: of two chosen at random, the one with more free slots.
"""

import random
from collections.abc import Callable
from functools import partial

import anyio

from mulberryhitch.configuration.holder import ConfigurationHolder
from mulberryhitch.configuration.models import ServiceConfiguration
from mulberryhitch.errors import (
    BackendRefusedError,
    DeadlinePassedError,
    LostAuthorityError,
    MulberryhitchError,
    NoBackendServerError,
    NotFoundError,
    OutcomeUnknownError,
    UnreachableError,
)
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.metrics import Metrics
from mulberryhitch.outcomes import Outcome
from mulberryhitch.requests.at_most_once import AtMostOnceSender
from mulberryhitch.requests.messages import ServiceRequest, ServiceResponse
from mulberryhitch.requests.ports import LedgerClient, Owner, UpstreamLike
from mulberryhitch.requests.retry_budget import RetryBudget
from mulberryhitch.requests.service_slots import ServiceSlots
from mulberryhitch.requests.slot_lease import SlotLease
from mulberryhitch.requests.upstream import Upstream

OWNER_HEADER = b'Mulberryhitch-Owner'
HOP_HEADER = b'Mulberryhitch-Hop'
REFUSED_HEADER = b'mulberryhitch-refused'
OUTCOME_HEADER = b'mulberryhitch-outcome'
DEADLINE_HEADER = b'Mulberryhitch-Deadline'
_REQUEST_ID_HEADER = b'Mulberryhitch-Request-Id'
_MAX_ATTEMPTS = 4
_HOP_CONNECTIONS = 256
_HOP_MARGIN_SECONDS = 0.25
_RETRYABLE_ERRORS = (
    UnreachableError,
    BackendRefusedError,
    LostAuthorityError,
    OutcomeUnknownError,
    NoBackendServerError,
)


class Router:
    """Routes the requests of one entry.

    Args:
        member_id: Identifier of this entry.
        configuration: The active configuration of this entry.
        find_owners: Returns the other owners of a service's servers.
        ledger: Records non-idempotent requests.
        find_ledger_home: Returns the ledger home of a tenant's key.
        metrics: Receives the number of retries.
        histograms: Receives wait and total times.
        rng: Random source for choosing owners.
        make_upstream: Creates the connection pool of an address.
    """

    def __init__(
        self,
        member_id: str,
        configuration: ConfigurationHolder,
        find_owners: Callable[[str], list[Owner]],
        ledger: LedgerClient,
        find_ledger_home: Callable[[str, str], str],
        metrics: Metrics,
        histograms: Histograms,
        rng: random.Random,
        make_upstream: Callable[[str, int], UpstreamLike] = Upstream,
    ) -> None:
        """Initialises a router without owned servers."""
        self._member_id = member_id
        self._configuration = configuration
        self._find_owners = find_owners
        self._at_most_once = AtMostOnceSender(ledger, find_ledger_home)
        self._metrics = metrics
        self._histograms = histograms
        self._rng = rng
        self._make_upstream = make_upstream
        self._services: dict[str, ServiceSlots] = {}
        self._upstreams: dict[str, UpstreamLike] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self.in_flight = 0

    @property
    def services(self) -> dict[str, ServiceSlots]:
        """The slots by service, for services with servers owned here."""
        return self._services

    async def route(self, request: ServiceRequest) -> ServiceResponse:
        """Sends a request and returns its response.

        Raises:
            MulberryhitchError: There is no response; the error's outcome
                shows whether the request may have run.
        """
        settings = self._settings(request.service)
        self.in_flight += 1
        try:
            return await self._send_with_retries(request, settings)
        except MulberryhitchError as error:
            replayed = await self._replay_if_refused(request, error)
            if replayed is None:
                raise
            return replayed
        finally:
            self.in_flight -= 1

    def upstream_for(self, address: str, connections: int) -> UpstreamLike:
        """Returns the connection pool of an address, created if needed."""
        upstream = self._upstreams.get(address)
        if upstream is None:
            upstream = self._make_upstream(address, connections)
            self._upstreams[address] = upstream
        return upstream

    async def close_upstream(self, address: str) -> None:
        """Closes the connections to an address."""
        upstream = self._upstreams.pop(address, None)
        if upstream is not None:
            await upstream.aclose()

    async def _replay_if_refused(
        self, request: ServiceRequest, error: MulberryhitchError
    ) -> ServiceResponse | None:
        """Returns the response to an earlier request, if this one is refused.

        A resend may be refused before the ledger is asked, for example while
        no backend server is known. The client must not be told that its
        request hasn't run if an earlier one with its key has.
        """
        refused = error.outcome is Outcome.not_run and not request.in_ledger
        if request.idempotent or request.forwarded_by or not refused:
            return None
        return await self._at_most_once.replay(request)

    def _settings(self, service: str) -> ServiceConfiguration:
        settings = self._configuration.current.services.get(service)
        if settings is None:
            raise NotFoundError(f'no service named {service}', where='path')
        return settings

    def _budget(self, service: str, share: float) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(share)
            self._budgets[service] = budget
        return budget

    async def _send_with_retries(
        self, request: ServiceRequest, settings: ServiceConfiguration
    ) -> ServiceResponse:
        budget = self._budget(request.service, settings.retry_share)
        budget.record_first_attempt()
        attempts = 0
        while True:
            attempts += 1
            try:
                return await self._attempt(request, settings)
            except _RETRYABLE_ERRORS as error:
                if attempts >= _MAX_ATTEMPTS or not self._may_retry(
                    request, error, budget
                ):
                    raise
            self._metrics.count('requests.retried')

    def _may_retry(
        self,
        request: ServiceRequest,
        error: MulberryhitchError,
        budget: RetryBudget,
    ) -> bool:
        if request.remaining_body is not None or request.forwarded_by:
            return False
        if error.outcome is not Outcome.not_run and not request.idempotent:
            return False
        if isinstance(error, NoBackendServerError) and not request.tried:
            return False
        remaining_seconds = request.deadline - anyio.current_time()
        return remaining_seconds > 0 and budget.try_spend()

    async def _attempt(
        self, request: ServiceRequest, settings: ServiceConfiguration
    ) -> ServiceResponse:
        if anyio.current_time() >= request.deadline:
            raise DeadlinePassedError('the deadline has passed')
        owner = self._pick_owner(request)
        if owner is None:
            return await self._send_to_owned_server(request, settings)
        request.tried.add(owner.member_id)
        return await self._forward(request, owner)

    def _pick_owner(self, request: ServiceRequest) -> Owner | None:
        """Returns the owner to forward to, or None for this entry."""
        own_slots = self._services.get(request.service)
        usable_here = own_slots is not None and own_slots.usable_slots > 0
        if request.forwarded_by or (
            usable_here and own_slots is not None and own_slots.free_slots > 0
        ):
            return None
        others = [
            owner
            for owner in self._find_owners(request.service)
            if owner.member_id not in request.tried
        ]
        candidates = [
            owner for owner in others if owner.is_same_data_centre
        ] or others
        with_free_slots = [
            owner for owner in candidates if owner.free_slots > 0
        ]
        if usable_here and not with_free_slots:
            return None
        choices = with_free_slots or candidates
        if not choices:
            return None
        pair = self._rng.sample(choices, min(2, len(choices)))
        return max(
            pair,
            key=lambda candidate: (candidate.free_slots, -candidate.queued),
        )

    async def _forward(
        self, request: ServiceRequest, owner: Owner
    ) -> ServiceResponse:
        remaining_seconds = request.deadline - anyio.current_time()
        remaining_seconds -= min(_HOP_MARGIN_SECONDS, remaining_seconds / 4)
        extra_headers = [
            (HOP_HEADER, self._member_id.encode()),
            (b'Authorization', request.authorization),
            (DEADLINE_HEADER, f'{remaining_seconds:.3f}'.encode()),
            (_REQUEST_ID_HEADER, request.request_id.encode()),
        ]
        upstream = self.upstream_for(owner.http_address, _HOP_CONNECTIONS)
        target = f'/v1/services/{request.service}'.encode() + request.target
        response = await upstream.send(
            request, target, extra_headers, _ignore_end
        )
        outcome_name = response.header(OUTCOME_HEADER).decode()
        if outcome_name not in Outcome.__members__:
            raise OutcomeUnknownError(
                f'the member responded with invalid outcome "{outcome_name}"',
                where=owner.member_id,
            )
        response.outcome = Outcome(outcome_name)
        if response.outcome is Outcome.unknown and request.idempotent:
            raise OutcomeUnknownError(
                f'{owner.member_id} did not receive the response',
                where=request.service,
            )
        if response.outcome is Outcome.not_run and response.status >= 500:
            raise BackendRefusedError(
                f'{owner.member_id} did not run the request',
                where=request.service,
                retry_after_seconds=_retry_after_seconds(response),
            )
        return response

    async def _send_to_owned_server(
        self, request: ServiceRequest, settings: ServiceConfiguration
    ) -> ServiceResponse:
        slots = self._services.get(request.service)
        if slots is None:
            raise NoBackendServerError(
                'no backend server of the service is known',
                where=request.service,
                retry_after_seconds=1,
            )
        started_at = anyio.current_time()
        server = await slots.acquire(
            request.tenant,
            request.deadline - started_at,
            frozenset(request.tried),
        )
        acquired_at = anyio.current_time()
        self._histograms.record(
            'request_wait',
            request.tenant,
            request.service,
            acquired_at - started_at,
        )
        lease = SlotLease(slots, server, request.tenant)
        try:
            response = await self._send_with_slot(request, settings, lease)
        except BaseException:
            lease.release(still_running=False)
            raise
        self._histograms.record(
            'request_total',
            request.tenant,
            request.service,
            anyio.current_time() - started_at,
        )
        return response

    async def _send_with_slot(
        self,
        request: ServiceRequest,
        settings: ServiceConfiguration,
        lease: SlotLease,
    ) -> ServiceResponse:
        request.tried.add(lease.server.backend_server_id)
        if request.idempotent:
            return await self._send_to_server(request, settings, lease)
        return await self._at_most_once.run(
            request, partial(self._send_to_server, request, settings, lease)
        )

    async def _send_to_server(
        self,
        request: ServiceRequest,
        settings: ServiceConfiguration,
        lease: SlotLease,
    ) -> ServiceResponse:
        server = lease.server
        if anyio.current_time() >= server.owned_until:
            raise LostAuthorityError(
                'ownership of the server has ended',
                where=server.backend_server_id,
            )
        upstream = self.upstream_for(server.address, settings.connections)
        remaining_seconds = request.deadline - anyio.current_time()
        extra_headers = [
            (OWNER_HEADER, self._member_id.encode()),
            (DEADLINE_HEADER, f'{remaining_seconds:.3f}'.encode()),
            (_REQUEST_ID_HEADER, request.request_id.encode()),
        ]
        response = await upstream.send(
            request, request.target, extra_headers, lease.on_exchange_end
        )
        if response.header(REFUSED_HEADER):
            raise BackendRefusedError(
                'the backend server refused the request before running it',
                where=server.backend_server_id,
                retry_after_seconds=1,
            )
        return response


def _ignore_end(still_running: bool) -> None:
    """Ignores how a forwarded exchange ended."""


def _retry_after_seconds(response: ServiceResponse) -> float:
    header_value = response.header(b'retry-after').decode('latin-1')
    return float(header_value) if header_value.isdigit() else 1
