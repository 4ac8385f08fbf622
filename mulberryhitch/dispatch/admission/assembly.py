"""Builds the admission controller of a leader's term."""

from mulberryhitch.dispatch.admission.backlog_reader import BacklogReader
from mulberryhitch.dispatch.admission.controller import AdmissionController
from mulberryhitch.dispatch.admission.job_sizes import JobSizes
from mulberryhitch.dispatch.admission.ports import (
    NoTenantShares,
    TenantShareSource,
    UniformSpeeds,
    WorkerSpeedSource,
)
from mulberryhitch.dispatch.placement.plans import EstimateCache
from mulberryhitch.dispatch.term import Term


def make_admission(
    term: Term,
    estimates: EstimateCache,
    speeds: WorkerSpeedSource | None = None,
    shares: TenantShareSource | None = None,
) -> AdmissionController:
    """Returns the admission controller of a term.

    Args:
        term: The leader's term.
        estimates: Objectives and critical paths of its steps.
        speeds: Speeds of the workers; all the same by default.
        shares: Shares of the tenants; none by default.
    """
    sizes: dict[str, JobSizes] = {}
    shares = shares or NoTenantShares()
    reader = BacklogReader(
        term.job_store,
        term.tracked_workers,
        estimates,
        term.completed_work,
        sizes,
        speeds or UniformSpeeds(),
        shares,
        term.wall_time,
    )
    return AdmissionController(
        reader,
        term.completed_work,
        sizes,
        shares,
        term.options.admission,
        term.log,
        term.histograms,
    )
