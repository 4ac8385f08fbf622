"""Which submitted jobs are refused, decided without a network.

The service has ten cores. A job takes one second, has an objective of two
seconds and is too late after six.
"""

from dataclasses import replace

import anyio
import pytest

from mulberryhitch.dispatch.admission.backlog import WaitingWork
from mulberryhitch.dispatch.admission.completed_work import CompletedWork
from mulberryhitch.dispatch.admission.controller import AdmissionController
from mulberryhitch.dispatch.admission.estimator import FinishEstimator
from mulberryhitch.dispatch.admission.job_sizes import JobSizes
from mulberryhitch.dispatch.admission.observed_waits import ObservedWaits
from mulberryhitch.dispatch.admission.options import AdmissionOptions
from mulberryhitch.dispatch.admission.returns import ReturnTimes
from mulberryhitch.dispatch.admission.work import demand_of
from mulberryhitch.dispatch.admission.work_rates import WorkRates
from mulberryhitch.errors import (
    InvalidSettingsError,
    MulberryhitchError,
    OverloadedError,
    OverQuotaError,
)
from mulberryhitch.jobs.model import JobSpec, Queue
from tests.admission_builders import (
    CORES,
    QUEUE,
    SERVICE,
    SETTLED_SECONDS,
    BrokenBacklog,
    FixedBacklog,
    OverShare,
    cores,
    make_backlog,
    make_controller,
    make_spec,
)
from tests.replica_group import run_with_mock_clock

OVERLOAD = {1: 300.0}


def refusal_of(
    controller: AdmissionController,
    spec: JobSpec | None = None,
    queue: Queue = QUEUE,
    tenant: str = '',
) -> MulberryhitchError | None:
    """Returns the error with which a job is refused; None if it is not."""
    try:
        controller.check('job', queue, spec or make_spec(), tenant)
    except MulberryhitchError as error:
        return error
    return None


async def settled(
    source: FixedBacklog | BrokenBacklog, **options: object
) -> AdmissionController:
    """Returns a controller whose term has lasted for some seconds."""
    controller, _ = make_controller(source, **options)  # type: ignore[arg-type]
    await anyio.sleep(SETTLED_SECONDS)
    return controller


def test_a_job_that_would_be_too_late_is_refused_at_once() -> None:
    """Guards against jobs that wait until they are worth nothing."""

    async def main() -> None:
        controller, log = make_controller(FixedBacklog(make_backlog(OVERLOAD)))
        await anyio.sleep(SETTLED_SECONDS)
        error = refusal_of(controller)
        assert isinstance(error, OverloadedError)
        # Until 300 core-seconds are worked off to those of 1.5 limits.
        assert 10 <= error.retry_after_seconds <= 30
        assert error.retry_after_seconds == int(error.retry_after_seconds)
        assert log.counts['job.refused'] == 1
        assert log.counts['job.refused.capacity'] == 1

    run_with_mock_clock(main)


@pytest.mark.parametrize(
    'backlog',
    [
        make_backlog({1: 30.0}),
        make_backlog({2: 3000.0}),
        make_backlog(OVERLOAD, used=CORES * 0.5),
        make_backlog({}),
        make_backlog(OVERLOAD, missed={}),
        make_backlog(OVERLOAD, missed={'q': [0.4] * 99}),
    ],
    ids=[
        'in time',
        'less urgent',
        'free room',
        'calm',
        'none missed',
        'only small ones missed',
    ],
)
def test_a_job_is_accepted_that_may_be_in_time(backlog: object) -> None:
    """Guards against refusals of jobs that the workers can carry."""

    async def main() -> None:
        source = FixedBacklog(backlog)  # type: ignore[arg-type]
        assert refusal_of(await settled(source)) is None

    run_with_mock_clock(main)


def test_work_before_a_job_is_that_of_its_urgency_and_above() -> None:
    """Guards against urgent jobs that are refused for a backlog of others."""

    async def main() -> None:
        controller = await settled(FixedBacklog(make_backlog(OVERLOAD)))
        urgent = replace(QUEUE, name='urgent', urgency=0)
        later = replace(QUEUE, name='later', urgency=2)
        assert refusal_of(controller, queue=urgent) is None
        assert refusal_of(controller, queue=later) is not None

    run_with_mock_clock(main)


def test_a_new_leader_refuses_nothing() -> None:
    """Guards against refusals by a leader without measurements."""

    async def main() -> None:
        source = FixedBacklog(make_backlog(OVERLOAD))
        early, _ = make_controller(source)
        assert refusal_of(early) is None
        assert refusal_of(await settled(source, rounds=2)) is None
        unlisted = make_backlog(OVERLOAD, knows_workers=False)
        assert refusal_of(await settled(FixedBacklog(unlisted))) is None

    run_with_mock_clock(main)


def test_scheduled_and_long_running_jobs_are_not_refused() -> None:
    """Guards against estimates of jobs that have none."""

    async def main() -> None:
        controller = await settled(FixedBacklog(make_backlog(OVERLOAD)))
        scheduled = replace(make_spec(), repeat_count=2)
        assert refusal_of(controller, scheduled) is None
        assert refusal_of(controller, make_spec(long_running=True)) is None

    run_with_mock_clock(main)


@pytest.mark.parametrize(
    ('spec', 'queue'),
    [
        (make_spec(seconds=0), QUEUE),
        (
            JobSpec('', make_spec().steps + make_spec(seconds=0).steps),
            QUEUE,
        ),
        (make_spec(), replace(QUEUE, stretch=0)),
    ],
)
def test_jobs_without_a_known_objective_are_not_refused(
    spec: JobSpec, queue: Queue
) -> None:
    """Guards against limits of zero, which any wait exceeds.

    The objective of a job follows from run times, which it does not estimate.
    """

    async def main() -> None:
        controller = await settled(FixedBacklog(make_backlog(OVERLOAD)))
        assert refusal_of(controller) is not None
        assert refusal_of(controller, spec, queue) is None

    run_with_mock_clock(main)


def test_a_defect_of_the_estimator_accepts_the_job() -> None:
    """Guards against answers of 502 because of a wrong estimate."""

    async def main() -> None:
        controller, log = make_controller(BrokenBacklog())
        await anyio.sleep(SETTLED_SECONDS)
        assert refusal_of(controller) is None
        assert log.counts['admission.defect'] == 1

    run_with_mock_clock(main)


def test_accepted_jobs_count_before_the_next_summary() -> None:
    """Guards against a burst that is accepted whole within one summary."""

    async def main() -> None:
        source = FixedBacklog(make_backlog({1: 20.0}))
        controller = await settled(source)
        answers = [refusal_of(controller) for _ in range(300)]
        assert source.reads == 1
        assert answers[0] is None
        assert answers[-1] is not None

    run_with_mock_clock(main)


def test_an_old_summary_is_made_again() -> None:
    """Guards against refusals by a state that is over a second old."""

    async def main() -> None:
        source = FixedBacklog(make_backlog({}, size=1_000_000))
        controller = await settled(source)
        refusal_of(controller)
        await anyio.sleep(0.9)
        refusal_of(controller)
        assert source.reads == 1
        await anyio.sleep(0.2)
        refusal_of(controller)
        assert source.reads == 2

    run_with_mock_clock(main)


def test_jobs_are_accepted_while_jobs_like_them_start() -> None:
    """Guards against refusals for gangs that leave room for smaller jobs."""

    async def main() -> None:
        controller = await settled(FixedBacklog(make_backlog({1: 20.0})))
        for number in range(4):
            controller.check(f'job-{number}', QUEUE, make_spec())
        await anyio.sleep(0.5)
        controller.record_starts([f'job-{number}' for number in range(4)])
        source = controller._source
        assert isinstance(source, FixedBacklog)
        source.backlog = make_backlog(OVERLOAD, missed={'q': [20.0] * 9})
        assert refusal_of(controller) is None
        assert refusal_of(controller, make_spec(count=20)) is not None
        # Most of the others like it have waited in vain.
        source.backlog = make_backlog(OVERLOAD, missed={'q': [1.0] * 20})
        await anyio.sleep(0.5)
        assert refusal_of(controller) is not None

    run_with_mock_clock(main)


def test_a_tenant_at_its_cap_gets_429() -> None:
    """Guards against 503 for what only the tenant itself can end."""

    async def main() -> None:
        waiting = WaitingWork(cores(60))
        backlog = make_backlog(
            {},
            caps={'small': cores(1)},
            tenants={'small': {QUEUE.urgency: waiting}},
        )
        controller = await settled(FixedBacklog(backlog))
        assert refusal_of(controller, tenant='other') is None
        error = refusal_of(controller, tenant='small')
        assert isinstance(error, OverQuotaError)
        assert error.retry_after_seconds >= 1

    run_with_mock_clock(main)


@pytest.mark.parametrize(
    ('urgency', 'waiting'),
    [
        (QUEUE.urgency + 1, WaitingWork(cores(60))),
        (QUEUE.urgency, WaitingWork(late=cores(60))),
    ],
)
def test_a_tenants_later_work_does_not_count_before_a_job(
    urgency: int, waiting: WaitingWork
) -> None:
    """Guards against urgent jobs refused for batches of their tenant.

    They start first in whatever its cap leaves, as they do on the workers.
    """

    async def main() -> None:
        backlog = make_backlog(
            {}, caps={'small': cores(1)}, tenants={'small': {urgency: waiting}}
        )
        controller = await settled(FixedBacklog(backlog))
        assert refusal_of(controller, tenant='small') is None

    run_with_mock_clock(main)


def test_a_flood_of_one_tenant_refuses_only_its_own_jobs() -> None:
    """Guards against others that pay for a tenant over its share."""

    async def main() -> None:
        backlog = make_backlog({})
        flood = WaitingWork(over_share=cores(300))
        backlog.waiting[SERVICE, QUEUE.urgency] = flood
        controller = await settled(
            FixedBacklog(backlog), shares=OverShare({'flood'})
        )
        assert refusal_of(controller, tenant='other') is None
        error = refusal_of(controller, tenant='flood')
        assert isinstance(error, OverQuotaError)

    run_with_mock_clock(main)


def test_estimates_that_are_too_low_extend_the_limit() -> None:
    """Guards against limits by estimates that are known to be too low."""

    async def main() -> None:
        completed = CompletedWork()
        for _ in range(100):
            completed.record('q', 10, 1, 4, anyio.current_time())
        source = FixedBacklog(make_backlog({1: 110.0}))
        assert refusal_of(await settled(source)) is not None
        learned = await settled(source, completed=completed)
        assert refusal_of(learned) is None

    run_with_mock_clock(main)


def test_a_ratio_is_learned_from_runs() -> None:
    """Guards against estimates off by 90% that decide who is refused."""
    completed = CompletedWork()
    assert completed.ratio('q') == 1
    completed.record('q', 1, 1, 1.9, 0)
    assert completed.ratio('q') < 1.1
    for now in range(1000):
        completed.record('q', 10, 1, 1.9, now)
    assert completed.ratio('q') == pytest.approx(1.9, abs=0.2)
    assert completed.ratio('other') == 1


def test_jobs_that_cannot_be_in_time_wait_for_later_ones() -> None:
    """Guards against estimates that leave out what arrives during the wait."""
    backlog = make_backlog({1: 40.0})
    demand = demand_of('job', QUEUE, make_spec(), '')
    arrivals = WorkRates()
    estimator = FinishEstimator(arrivals, ObservedWaits())
    alone = estimator.estimate(demand, backlog, 1, 0)
    for step in range(1000):
        arrivals.record(SERVICE, 1, 1, step / 10)
    busy = estimator.estimate(demand, backlog, 1, 100)
    assert alone.wait == pytest.approx(4)
    assert busy.wait == pytest.approx(8, rel=0.1)
    assert alone.backlog == busy.backlog == pytest.approx(4)


def test_large_jobs_are_not_refused_much_more_than_others() -> None:
    """Guards against value per core-second keeping out the largest jobs."""
    sizes = JobSizes()
    for number in range(400):
        size = number % 10 + 1.0
        sizes.record(size, is_accepted=size < 8 or number % 2 == 0)
    assert sizes.is_underserved(10)
    assert not sizes.is_underserved(1)
    assert sizes.value_of(1) < sizes.value_of(10) <= 4
    assert sizes.value_of(1) > sizes.value_of(10) / 10


def test_returns_are_spread_over_the_time_when_there_is_room() -> None:
    """Guards against refused jobs that all come back at once."""
    returns = ReturnTimes()
    key = (SERVICE, 1)
    seconds = [returns.next_seconds(key, 5, 0.1, 0) for _ in range(200)]
    assert seconds[0] == 5
    assert seconds == sorted(seconds)
    assert max(seconds) == 25
    assert max(seconds.count(value) for value in set(seconds)) <= 11
    far = [returns.next_seconds(key, 500, 1, 0) for _ in range(100)]
    assert min(far) >= 5
    assert max(far) <= 30
    assert len(set(far)) > 10


@pytest.mark.parametrize(
    'settings',
    [{'refresh_seconds': 0}, {'settle_seconds': -1}, {'dense_factor': 0.5}],
)
def test_settings_out_of_range_are_named(settings: dict[str, float]) -> None:
    """Guards against settings that would refuse all jobs, or none."""
    with pytest.raises(InvalidSettingsError) as caught:
        AdmissionOptions(**settings)  # type: ignore[arg-type]
    assert caught.value.where in settings
