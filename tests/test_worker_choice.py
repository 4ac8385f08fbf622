"""Which workers tasks and gangs get, by speed and by the room they leave."""

from dataclasses import replace

import pytest

from mulberryhitch.dispatch.placement.free_capacity import FreeCapacity
from mulberryhitch.dispatch.placement.plans import WaitingStep
from mulberryhitch.dispatch.placement.speed_order import SpeedOrder, SpeedRange
from mulberryhitch.dispatch.placement.worker_choice import WorkerChoice
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import Resources, Step
from tests.waiting_steps import (
    make_free_capacity,
    make_waiting_step,
    make_worker,
)

TASK = Step(1, 4000, 100)
GANG = Step(4, 16_000, 100, gang=True)
SLOW = 0.5


def make_uneven_workers(count: int = 8) -> list[TrackedWorker]:
    """Returns workers of which the first and every fourth one is slow."""
    return [
        make_worker(f'w{number}', speed=1 if number % 4 else SLOW)
        for number in range(count)
    ]


def gang_speeds(
    waiting: WaitingStep, workers: list[TrackedWorker], copies: int
) -> list[float]:
    choice = WorkerChoice(make_free_capacity(*workers), ())
    counted = [(copies, worker) for worker in workers]
    chosen = choice.for_gang(waiting, counted)
    return [worker.speed for worker in chosen or ()]


def first_for_task(
    waiting: WaitingStep,
    free_capacity: FreeCapacity,
    reserved: tuple[str, ...] = (),
) -> str:
    choice = WorkerChoice(free_capacity, reserved)
    counted = [
        (free_capacity.copies(worker_id, waiting.execution.resources), worker)
        for worker_id, worker in free_capacity.workers.items()
    ]
    ordered = choice.order_for_tasks(waiting, counted)
    return ordered[0][1].record.worker_id


@pytest.mark.parametrize(
    ('order', 'speed'),
    [(SpeedOrder.fastest_first, 1), (SpeedOrder.slowest_first, SLOW)],
)
def test_a_gang_gets_workers_of_one_speed(
    order: SpeedOrder, speed: float
) -> None:
    """Guards against fast workers that wait for a slow one of their gang."""
    waiting = make_waiting_step(GANG, order)
    workers = make_uneven_workers()
    assert gang_speeds(waiting, workers, copies=2) == [speed] * 4


def test_a_gang_that_fits_on_no_speed_alone_takes_few_slow_workers() -> None:
    waiting = make_waiting_step(GANG, SpeedOrder.slowest_first)
    speeds = gang_speeds(waiting, make_uneven_workers(4), copies=1)
    assert sorted(speeds) == [SLOW, 1, 1, 1]


def test_a_gang_near_its_data_is_not_moved_for_speed() -> None:
    """Guards against a gain that is smaller than the loss on a far rack."""
    step = Step(2, 16_000, 100, gang=True, data_rack='near')
    waiting = make_waiting_step(step, SpeedOrder.fastest_first)
    workers = [
        make_worker('near', speed=SLOW, rack='near'),
        make_worker('far', speed=1, rack='far'),
    ]
    assert gang_speeds(waiting, workers, copies=2) == [SLOW] * 2


def gang_candidates(
    step: Step, order: SpeedOrder, workers: list[TrackedWorker]
) -> list[TrackedWorker]:
    choice = WorkerChoice(make_free_capacity(*workers), ())
    return choice.candidates_for_gang(make_waiting_step(step, order), workers)


def test_a_gang_with_little_slack_takes_no_slow_workers() -> None:
    """Guards against workers kept for a gang that would make it late."""
    workers = make_uneven_workers()
    found = gang_candidates(GANG, SpeedOrder.fastest_first, workers)
    assert {worker.speed for worker in found} == {1}


def test_a_gang_with_slack_takes_any_workers() -> None:
    """Guards against a gang that starts late, as it has fewer to choose from."""
    workers = make_uneven_workers()
    for order in (SpeedOrder.any, SpeedOrder.slowest_first):
        assert gang_candidates(GANG, order, workers) == workers


def test_a_gang_that_is_late_anyway_takes_slow_workers() -> None:
    """Guards against an urgent gang that waits for fast workers without end.

    Urgent steps prefer fast workers also once they are late, and runs without
    an end may hold the fast ones.
    """
    workers = make_uneven_workers()
    choice = WorkerChoice(make_free_capacity(*workers), ())
    late = make_waiting_step(GANG, SpeedOrder.fastest_first, behind=True)
    assert choice.candidates_for_gang(late, workers) == workers


@pytest.mark.parametrize(
    'step', [replace(GANG, same_rack=True), replace(GANG, data_rack='near')]
)
def test_a_gang_that_asks_for_a_rack_may_take_its_slow_workers(
    step: Step,
) -> None:
    """Guards against a gang on several racks, which is slower than any."""
    workers = make_uneven_workers()
    found = gang_candidates(step, SpeedOrder.fastest_first, workers)
    assert found == workers


def test_a_gang_too_large_for_one_speed_takes_all_workers() -> None:
    """Guards against a gang that could never start."""
    workers = make_uneven_workers()
    step = Step(32, 16_000, 100, gang=True)
    found = gang_candidates(step, SpeedOrder.fastest_first, workers)
    assert found == workers


@pytest.mark.parametrize(
    ('order', 'expected'),
    [
        (SpeedOrder.fastest_first, 'fast'),
        (SpeedOrder.slowest_first, 'slow'),
        (SpeedOrder.any, 'full'),
    ],
)
def test_a_task_gets_the_preferred_speed_before_a_full_worker(
    order: SpeedOrder, expected: str
) -> None:
    free_capacity = make_free_capacity(
        make_worker('full', 8000, speed=0.8),
        make_worker('slow', speed=SLOW),
        make_worker('fast', speed=1),
    )
    waiting = make_waiting_step(TASK, order)
    assert first_for_task(waiting, free_capacity) == expected


def test_a_task_leaves_reserved_workers_to_gangs_whatever_their_speed() -> None:
    free_capacity = make_free_capacity(
        make_worker('fast'), make_worker('slow', speed=SLOW)
    )
    waiting = make_waiting_step(TASK, SpeedOrder.fastest_first)
    assert first_for_task(waiting, free_capacity, ('fast',)) == 'slow'


def test_permits_are_requested_for_the_preferred_speed_first() -> None:
    """Guards against permits for workers that placement would not choose."""
    slow, fast = make_worker('slow', speed=SLOW), make_worker('fast')
    free_capacity = make_free_capacity(slow, fast)
    free_capacity.allocate('fast', Resources(1000))
    for order, expected in (
        (SpeedOrder.any, [slow, fast]),
        (SpeedOrder.slowest_first, [slow, fast]),
        (SpeedOrder.fastest_first, [fast, slow]),
    ):
        ordered = free_capacity.emptiest_first('svc', speed_order=order)
        assert list(ordered) == expected


def test_a_fast_worker_without_room_hides_no_slow_one() -> None:
    slow, fast = make_worker('slow', speed=SLOW), make_worker('fast')
    free_capacity = make_free_capacity(slow, fast)
    free_capacity.hold('fast', 0, Resources())
    ordered = free_capacity.emptiest_first(
        'svc', 1000, SpeedOrder.fastest_first
    )
    assert list(ordered) == [slow]


def test_equal_workers_have_no_order() -> None:
    speeds = SpeedRange([make_worker('a'), make_worker('b')])
    assert not speeds.differ
    order = speeds.order_for('svc', urgent=True, slack=0, remaining=1)
    assert order is SpeedOrder.any


@pytest.mark.parametrize(
    ('urgent', 'slack', 'expected'),
    [
        (True, 100, SpeedOrder.fastest_first),
        (True, -1, SpeedOrder.fastest_first),
        # The slow worker takes 10 s more.
        (False, 8, SpeedOrder.fastest_first),
        (False, 12, SpeedOrder.fastest_first),
        (False, 20, SpeedOrder.slowest_first),
        # Late in any case.
        (False, -1, SpeedOrder.slowest_first),
    ],
)
def test_steps_that_could_be_late_on_a_slow_worker_get_fast_ones(
    urgent: bool, slack: float, expected: SpeedOrder
) -> None:
    speeds = SpeedRange(make_uneven_workers())
    order = speeds.order_for('svc', urgent=urgent, slack=slack, remaining=10)
    assert order is expected
