"""What is learned of the workers' speeds, and what must not be."""

import random
from collections.abc import Sequence

import pytest

from mulberryhitch.dispatch.runs.speed_classes import split_into_classes
from mulberryhitch.dispatch.runs.worker_speeds import MeasuredRun, WorkerSpeeds
from mulberryhitch.jobs.model import StepKey, TaskKey


def run_steps(
    speeds: WorkerSpeeds,
    true_speeds: Sequence[float],
    steps: int,
    width: int,
    seed: int = 1,
    now: float = 0,
) -> None:
    """Runs steps of any work whose tasks differ by up to a fifth each way."""
    rng = random.Random(seed)
    for number in range(steps):
        work = rng.uniform(0.5, 8)
        for task in range(width):
            worker = rng.randrange(len(true_speeds))
            seconds = work * rng.uniform(0.8, 1.2) / true_speeds[worker]
            speeds.record(
                TaskKey(f'job-{seed}-{number}', 0, 0, task),
                'svc',
                MeasuredRun(f'w{worker}', True, seconds, width),
                now,
            )
        speeds.finish_step(StepKey(f'job-{seed}-{number}', 0, 0), now)
        if number % 20 == 0:
            speeds.update(now)
    speeds.update(now)


@pytest.mark.parametrize('seed', range(5))
def test_speeds_of_two_classes_are_learned(seed: int) -> None:
    speeds = WorkerSpeeds()
    true_speeds = [0.55, 1.2, 1.2, 1.2] * 10
    run_steps(speeds, true_speeds, 400, 3, seed)
    for number, speed in enumerate(true_speeds):
        expected = speed / 1.2
        assert speeds.speed_of(f'w{number}') == pytest.approx(expected, rel=0.1)
    assert speeds.speed_of('w1') == 1


@pytest.mark.parametrize('seed', range(5))
def test_a_small_difference_is_learned(seed: int) -> None:
    speeds = WorkerSpeeds()
    true_speeds = [1.0, 1.0, 1.3] * 10
    run_steps(speeds, true_speeds, 200, 12, seed)
    for number, speed in enumerate(true_speeds):
        assert speeds.speed_of(f'w{number}') == pytest.approx(speed, rel=0.1)


@pytest.mark.parametrize('seed', range(10))
@pytest.mark.parametrize('steps', [15, 30, 100, 400])
def test_equal_workers_have_exactly_one_speed(seed: int, steps: int) -> None:
    """Guards against placement by the noise of run times."""
    speeds = WorkerSpeeds()
    run_steps(speeds, [1.0] * 40, steps, 12, seed)
    assert {speeds.speed_of(f'w{number}') for number in range(40)} == {1}


def test_the_difference_of_two_workers_is_learned() -> None:
    """Guards against a difference that swings from one worker to the other."""
    speeds = WorkerSpeeds()
    run_steps(speeds, [0.5, 1.0], 400, 8)
    ratio = speeds.speed_of('w0') / speeds.speed_of('w1')
    assert ratio == pytest.approx(0.5, rel=0.1)


def test_runs_of_one_worker_are_not_compared() -> None:
    """Guards against speeds that are learned from a worker alone."""
    speeds = WorkerSpeeds()
    run_steps(speeds, [0.5], 100, 8)
    assert speeds.known == 0


def test_a_step_is_compared_once_all_of_its_tasks_are_done() -> None:
    """Guards against speeds that are known only once whole jobs have ended."""
    speeds = WorkerSpeeds()
    for number in range(10):
        for task in range(3):
            speeds.record(
                TaskKey(f'job-{number}', 0, 0, task),
                'svc',
                MeasuredRun(f'w{task}', True, 1, 3),
                0,
            )
    speeds.update(0)
    assert speeds.known == 3


def test_runs_away_from_their_data_are_compared_with_each_other() -> None:
    """Guards against a worker that seems slow because its data is far."""
    speeds = WorkerSpeeds()
    for number in range(50):
        for task in range(6):
            near = task < 3
            speeds.record(
                TaskKey(f'job-{number}', 0, 0, task),
                'svc',
                MeasuredRun(f'w{task}', near, 2 if near else 6, 6),
                0,
            )
        speeds.finish_step(StepKey(f'job-{number}', 0, 0), 0)
    speeds.update(0)
    assert speeds.known == 6
    assert {speeds.speed_of(f'w{number}') for number in range(6)} == {1}


def test_a_few_frozen_runs_change_nothing() -> None:
    speeds = WorkerSpeeds()
    true_speeds = [1.0] * 12
    run_steps(speeds, true_speeds, 60, 12)
    for number in range(4):
        for task in range(6):
            speeds.record(
                TaskKey(f'frozen-{number}', 0, 0, task),
                'svc',
                MeasuredRun(f'w{task}', True, 30 if task == 0 else 1, 6),
                0,
            )
        speeds.finish_step(StepKey(f'frozen-{number}', 0, 0), 0)
    speeds.update(0)
    assert speeds.speed_of('w0') == 1


def test_a_replaced_worker_is_forgotten() -> None:
    """Guards against a new worker that is placed on as if it was the old."""
    speeds = WorkerSpeeds()
    run_steps(speeds, [0.5, 1, 1, 1] * 5, 100, 12)
    assert speeds.speed_of('w0') < 0.6
    speeds.forget('w0')
    assert speeds.speed_of('w0') == 1
    speeds.update(0)
    assert speeds.speed_of('w0') == 1


def test_a_run_of_a_replaced_worker_is_not_compared() -> None:
    """Guards against a step that ends after one of its workers was replaced."""
    speeds = WorkerSpeeds()
    for task in range(4):
        speeds.record(
            TaskKey('job', 0, 0, task),
            'svc',
            MeasuredRun(f'w{task}', True, 1, 5),
            0,
        )
    speeds.forget('w3')
    speeds.finish_step(StepKey('job', 0, 0), 0)
    assert 'w3' not in speeds._workers


def test_a_worker_without_work_is_tried_again() -> None:
    """Guards against a worker that stays slow, as it gets no work."""
    speeds = WorkerSpeeds()
    run_steps(speeds, [0.3, 1, 1, 1] * 5, 100, 12)
    assert speeds.speed_of('w0') < 0.5
    speeds.update(1000)
    assert speeds.speed_of('w0') == 1


def test_a_recovered_worker_is_usual_again() -> None:
    speeds = WorkerSpeeds()
    run_steps(speeds, [0.4] + [1.0] * 19, 100, 12, seed=1)
    assert speeds.speed_of('w0') < 0.6
    run_steps(speeds, [1.0] * 20, 100, 12, seed=2)
    assert speeds.speed_of('w0') == 1


def test_pending_runs_are_bounded() -> None:
    """Guards against memory that grows with the tasks of a step."""
    speeds = WorkerSpeeds()
    for task in range(10_000):
        speeds.record(
            TaskKey('job', 0, 0, task),
            'svc',
            MeasuredRun(f'w{task % 20}', True, 1, 20_000),
            0,
        )
    assert sum(map(len, speeds._pending.values())) < 64


def test_classes_need_a_gap() -> None:
    even = [number / 100 for number in range(-30, 30)]
    assert len(split_into_classes(even, [0] * len(even))) == 1
    assert split_into_classes([-0.3, -0.3, 0, 0, 0.4], [0.01] * 5) == [
        [-0.3, -0.3],
        [0, 0],
        [0.4],
    ]
    assert len(split_into_classes([-0.3, -0.3, 0, 0], [0.1] * 4)) == 1
    # Of the first worker little is known.
    errors = [0.12, 0.01, 0.01, 0.01]
    assert len(split_into_classes([-0.3, 0, 0, 0], errors)) == 1
