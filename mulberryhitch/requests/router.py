"""Routes requests to backend servers, over at most one hop.

The owner of a server's slots sends to it; any other entry passes the request
on to an owner, picked by two random choices on free slots.
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
from mulberryhitch.requests.budget import RetryBudget
from mulberryhitch.requests.messages import ServiceAnswer, ServiceRequest
from mulberryhitch.requests.once import OnceSender
from mulberryhitch.requests.ports import LedgerClient, Owner, UpstreamLike
from mulberryhitch.requests.service import ServiceSlots
from mulberryhitch.requests.slotlease import SlotLease
from mulberryhitch.requests.upstream import Upstream

OWNER_HEADER = b'Mulberryhitch-Owner'
HOP_HEADER = b'Mulberryhitch-Hop'
REFUSED_HEADER = b'mulberryhitch-refused'
OUTCOME_HEADER = b'mulberryhitch-outcome'
DEADLINE_HEADER = b'Mulberryhitch-Deadline'
_REQUEST_ID_HEADER = b'Mulberryhitch-Request-Id'
_MOST_TRIES = 4
_HOP_CONNECTIONS = 256
_HOP_MARGIN_SECONDS = 0.25
_RETRYABLE = (
    UnreachableError,
    BackendRefusedError,
    LostAuthorityError,
    OutcomeUnknownError,
    NoBackendServerError,
)


class Router:
    """Routes one entry's requests.

    Args:
        member_id: This entry.
        configuration: What is in force here.
        owners: Names the other owners of a service's servers.
        ledger: Keeps non-idempotent requests.
        home_of: The ledger's home for a tenant's key.
        metrics: Where counts go.
        histograms: Where waits are kept.
        chance: Picks owners.
        make_upstream: Opens the connections to an address.
    """

    def __init__(
        self,
        member_id: str,
        configuration: ConfigurationHolder,
        owners: Callable[[str], list[Owner]],
        ledger: LedgerClient,
        home_of: Callable[[str, str], str],
        metrics: Metrics,
        histograms: Histograms,
        chance: random.Random,
        make_upstream: Callable[[str, int], UpstreamLike] = Upstream,
    ) -> None:
        """Owns no server."""
        self._member_id = member_id
        self._configuration = configuration
        self._owners = owners
        self._once = OnceSender(ledger, home_of)
        self._metrics = metrics
        self._histograms = histograms
        self._chance = chance
        self._make_upstream = make_upstream
        self._services: dict[str, ServiceSlots] = {}
        self._upstreams: dict[str, UpstreamLike] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self.in_flight = 0

    @property
    def services(self) -> dict[str, ServiceSlots]:
        """The slots of each service that this entry owns servers of."""
        return self._services

    async def route(self, request: ServiceRequest) -> ServiceAnswer:
        """Carries a request to its end.

        Raises:
            MulberryhitchError: It has no answer; the type's outcome says
                whether it may have run.
        """
        settings = self._settings(request.service)
        self.in_flight += 1
        try:
            return await self._try(request, settings)
        finally:
            self.in_flight -= 1

    def upstream(self, address: str, connections: int) -> UpstreamLike:
        """The connections to an address."""
        found = self._upstreams.get(address)
        if found is None:
            found = self._make_upstream(address, connections)
            self._upstreams[address] = found
        return found

    async def close_upstream(self, address: str) -> None:
        """Closes the connections to an address."""
        found = self._upstreams.pop(address, None)
        if found is not None:
            await found.aclose()

    def _settings(self, service: str) -> ServiceConfiguration:
        found = self._configuration.current.services.get(service)
        if found is None:
            raise NotFoundError(f'no service named {service}', where='path')
        return found

    def _budget(self, service: str, share: float) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(share)
            self._budgets[service] = budget
        return budget

    async def _try(
        self, request: ServiceRequest, settings: ServiceConfiguration
    ) -> ServiceAnswer:
        budget = self._budget(request.service, settings.retry_share)
        budget.first_try()
        tries = 0
        while True:
            tries += 1
            try:
                return await self._try_once(request, settings)
            except _RETRYABLE as error:
                if tries >= _MOST_TRIES or not self._may_retry(
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
        if request.rest is not None or request.hop:
            return False
        if error.outcome is not Outcome.not_run and not request.idempotent:
            return False
        if isinstance(error, NoBackendServerError) and not request.tried:
            return False
        left = request.deadline - anyio.current_time()
        return left > 0 and budget.take()

    async def _try_once(
        self, request: ServiceRequest, settings: ServiceConfiguration
    ) -> ServiceAnswer:
        if anyio.current_time() >= request.deadline:
            raise DeadlinePassedError('the deadline has passed')
        owner = self._pick_owner(request)
        if owner is None:
            return await self._send_from_here(request, settings)
        request.tried.add(owner.member_id)
        return await self._pass_on(request, owner)

    def _pick_owner(self, request: ServiceRequest) -> Owner | None:
        """The owner to pass a request on to; nothing for this entry."""
        own = self._services.get(request.service)
        usable_here = own is not None and own.usable_slots > 0
        if request.hop or (usable_here and own is not None and own.free > 0):
            return None
        others = [
            owner
            for owner in self._owners(request.service)
            if owner.member_id not in request.tried
        ]
        near = [owner for owner in others if owner.is_near] or others
        free = [owner for owner in near if owner.free_slots > 0]
        if usable_here and not free:
            return None
        choices = free or near
        if not choices:
            return None
        pair = self._chance.sample(choices, min(2, len(choices)))
        return max(pair, key=lambda one: (one.free_slots, -one.queued))

    async def _pass_on(
        self, request: ServiceRequest, owner: Owner
    ) -> ServiceAnswer:
        left = request.deadline - anyio.current_time()
        left -= min(_HOP_MARGIN_SECONDS, left / 4)
        extra = [
            (HOP_HEADER, self._member_id.encode()),
            (b'Authorization', request.authorization),
            (DEADLINE_HEADER, f'{left:.3f}'.encode()),
            (_REQUEST_ID_HEADER, request.request_id.encode()),
        ]
        upstream = self.upstream(owner.http_address, _HOP_CONNECTIONS)
        target = f'/v1/services/{request.service}'.encode() + request.target
        answer = await upstream.send(request, target, extra, _ignore)
        told = answer.header(OUTCOME_HEADER).decode()
        if told not in Outcome.__members__:
            raise OutcomeUnknownError(
                'a member answered without an outcome', where=owner.member_id
            )
        answer.outcome = Outcome(told)
        if answer.outcome is Outcome.unknown and request.idempotent:
            raise OutcomeUnknownError(
                f'{owner.member_id} lost the answer', where=request.service
            )
        if answer.outcome is Outcome.not_run and answer.status >= 500:
            raise BackendRefusedError(
                f'{owner.member_id} did not run it',
                where=request.service,
                retry_after_seconds=_retry_after(answer),
            )
        return answer

    async def _send_from_here(
        self, request: ServiceRequest, settings: ServiceConfiguration
    ) -> ServiceAnswer:
        slots = self._services.get(request.service)
        if slots is None:
            raise NoBackendServerError(
                'no backend server of the service is known',
                where=request.service,
                retry_after_seconds=1,
            )
        began = anyio.current_time()
        server = await slots.acquire(
            request.tenant,
            request.deadline - began,
            frozenset(request.tried),
        )
        taken_at = anyio.current_time()
        self._histograms.record(
            'request_wait', request.tenant, request.service, taken_at - began
        )
        lease = SlotLease(slots, server, request.tenant)
        try:
            answer = await self._send_leased(request, settings, lease)
        except BaseException:
            lease.end(still_running=False)
            raise
        self._histograms.record(
            'request_total',
            request.tenant,
            request.service,
            anyio.current_time() - began,
        )
        return answer

    async def _send_leased(
        self,
        request: ServiceRequest,
        settings: ServiceConfiguration,
        lease: SlotLease,
    ) -> ServiceAnswer:
        request.tried.add(lease.server.backend_server_id)
        if request.idempotent:
            return await self._send(request, settings, lease)
        return await self._once.run(
            request, partial(self._send, request, settings, lease)
        )

    async def _send(
        self,
        request: ServiceRequest,
        settings: ServiceConfiguration,
        lease: SlotLease,
    ) -> ServiceAnswer:
        server = lease.server
        if anyio.current_time() >= server.ends_at:
            raise LostAuthorityError(
                'the ownership has ended', where=server.backend_server_id
            )
        upstream = self.upstream(server.address, settings.connections)
        left = request.deadline - anyio.current_time()
        extra = [
            (OWNER_HEADER, self._member_id.encode()),
            (DEADLINE_HEADER, f'{left:.3f}'.encode()),
            (_REQUEST_ID_HEADER, request.request_id.encode()),
        ]
        answer = await upstream.send(
            request, request.target, extra, lease.end_exchange
        )
        if answer.header(REFUSED_HEADER):
            raise BackendRefusedError(
                'the backend server refused it before work',
                where=server.backend_server_id,
                retry_after_seconds=1,
            )
        return answer


def _ignore(still_running: bool) -> None:
    """Takes no notice of how a hop ended."""


def _retry_after(answer: ServiceAnswer) -> float:
    told = answer.header(b'retry-after').decode('latin-1')
    return float(told) if told.isdigit() else 1
