"""What submitters get when a load is played against the dispatcher."""

from dataclasses import replace

import pytest

from benchmarks.bench_load import make_busy_load
from mulberryhitch.dispatch.runs.worker_speeds import WorkerSpeeds
from mulberryhitch.jobs.model import Queue
from tests.load_jobs import (
    Amount,
    Load,
    LoadClass,
    make_load,
    make_wide_load,
)
from tests.load_player import play


def test_a_play_repeats() -> None:
    load = replace(make_load('small', 12), seconds=5)
    first, second = play(load), play(load)
    assert first.by_class == second.by_class
    assert first.stops == second.stops


def test_jobs_are_in_time_while_half_of_the_workers_would_do() -> None:
    load = replace(make_load('half', 24, 0.55), seconds=20)
    for name in ('urgent', 'batch', 'gang'):
        report = play(load).by_class[name]
        assert report.in_time >= 0.9 * (report.offered - report.failed)


def test_every_job_of_a_busy_load_has_one_result() -> None:
    for row in play(make_busy_load(24, 1, 15)).by_class.values():
        results = row.in_time + row.late + row.too_late
        assert results + row.failed + row.refused == row.offered


def test_jobs_that_cannot_be_in_time_do_not_make_others_late() -> None:
    """Twice as many jobs as the workers can carry arrive for ten seconds.

    Half of them can be in time, if the rest waits.
    """
    task = Amount(1, 0, 1)
    queue = Queue('q', 'h', '/q/', 'svc', maximum_failures=2, stretch=2)
    load_class = LoadClass(
        queue,
        per_second=16,
        seconds=task,
        width=task,
        processors=Amount(1000, 0, 1000),
        memory=task,
        failing=0,
        uneven=0,
    )
    load = Load('flood', 8, 1, 1000, 1, (load_class,), seconds=10)
    report = play(load).by_class['q']
    assert report.in_time >= 0.4 * report.offered


def _flood(per_second: float, objectives: float = 2) -> Load:
    """Returns jobs of one second for workers that carry eight at a time."""
    task = Amount(1, 0, 1)
    queue = Queue(
        'q', 'h', '/q/', 'svc', maximum_failures=2, stretch=objectives
    )
    load_class = LoadClass(
        queue,
        per_second,
        seconds=task,
        width=task,
        processors=Amount(1000, 0, 1000),
        memory=task,
        failing=0,
        uneven=0,
    )
    return Load('flood', 8, 1, 1000, 1, (load_class,), seconds=20)


def test_nothing_is_refused_while_the_workers_can_carry_the_load() -> None:
    """Guards against refusals for bursts that the workers carry in time."""
    report = play(make_busy_load(24, 0.8, 20))
    assert not report.refusals


def test_a_flood_is_refused_that_cannot_be_carried() -> None:
    """Guards against jobs of a lasting flood that wait until it is too late.

    Ten times as many jobs arrive as the workers can carry.
    """
    load = _flood(80)
    report, former = play(load), play(load, admission=False)
    with_admission, without = report.by_class['q'], former.by_class['q']
    assert report.refusals
    assert with_admission.too_late < without.too_late / 2
    served = with_admission.in_time + with_admission.late
    assert served >= 0.9 * (without.in_time + without.late)
    assert len({seconds for _, seconds in report.refusals}) > 3


def test_slow_workers_get_the_work_that_can_wait() -> None:
    """Guards against short jobs that are late as a quarter of workers is slow.

    Without speeds, a sixth of the urgent tasks run on slow workers.
    """
    load = replace(make_wide_load('uneven', 24, 0.9), seconds=25)
    shares = play(load).slow_shares
    assert shares['urgent'] < 0.12 < shares['batch']


def test_equal_workers_are_placed_on_as_without_speeds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against placement that follows the noise of run times."""
    load = replace(make_wide_load('equal', 24, 1.3, (1.0,)), seconds=10)
    learned = play(load)
    monkeypatch.setattr(WorkerSpeeds, 'update', lambda self, now: None)
    without = play(load)
    assert learned.by_class == without.by_class
    assert learned.stops == without.stops
