"""Periodic report of what each tenant uses and waits for."""

from collections import Counter
from dataclasses import dataclass

from mulberryhitch.dispatch.reports.accounting import MILLICORES_PER_CORE
from mulberryhitch.jobs.model import QueueTable
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.observability.log import Log

_MAX_TENANTS = 20


@dataclass(frozen=True, slots=True)
class TenantStatus:
    """What one tenant uses and waits for.

    Attributes:
        cores: Processors that its open runs take.
        cap: Processors that they may take; zero for no limit.
        waiting: Number of its waiting tasks.
    """

    name: str
    cores: float
    cap: float
    weight: float
    waiting: int


def busiest_tenants(job_store: JobStore) -> list[TenantStatus]:
    """Returns the tenants that use most processors, at most twenty."""
    table: QueueTable = job_store.queue_table
    if not table.tenants:
        return []
    waiting: Counter[str] = Counter()
    for execution in job_store.ready_steps.values():
        tenant = job_store.jobs[execution.key.job_id].tenant
        waiting[tenant] += len(execution.waiting_units)
    rows = [
        TenantStatus(
            tenant.name,
            _cores(job_store.tenant_usage(tenant.name).processors),
            _cores(tenant.processors),
            tenant.weight,
            waiting[tenant.name],
        )
        for tenant in table.tenants
    ]
    rows.sort(key=lambda row: (-row.cores, -row.waiting, row.name))
    return rows[:_MAX_TENANTS]


def report_tenants(job_store: JobStore, capped: Counter[str], log: Log) -> None:
    """Logs the busiest tenants, and those whose cap holds steps back.

    Args:
        job_store: The committed state.
        capped: Number of steps that the last round held back, by tenant.
        log: Receives the lines.
    """
    for row in busiest_tenants(job_store):
        log.summary(
            'tenant.status',
            tenant=row.name,
            cores=row.cores,
            cap=row.cap,
            weight=row.weight,
            waiting=row.waiting,
        )
    for tenant, steps in capped.most_common(_MAX_TENANTS):
        log.summary('tenant.capped', tenant=tenant, steps=steps)


def _cores(millicores: int) -> float:
    return round(millicores / MILLICORES_PER_CORE, 1)
