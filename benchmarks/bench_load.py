"""What submitters get under load: ``python -m benchmarks.bench_load``.

Plays generated loads against the dispatcher on a mock clock, without network,
disk or processor time; see `tests/load_player.py`.
"""

import argparse
import statistics
from collections import Counter
from dataclasses import replace

from tests.deployment_loads import FLOOD_TENANT, LOADS
from tests.load_jobs import (
    Burst,
    Load,
    make_load,
    make_narrow_load,
    make_wide_load,
)
from tests.load_player import LoadReport, play

_ROW = '{:14} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8}'
_SHOWN_LOSSES = 8


KINDS = {'mixed': make_load, 'wide': make_wide_load, 'narrow': make_narrow_load}


def make_busy_load(
    workers: int, share: float, seconds: float, kind: str = 'mixed'
) -> Load:
    """Returns a load with bursts of each class and workers that leave."""
    load = KINDS[kind](f'{kind}, {workers} workers', workers, share)
    bursts = (
        Burst('urgent', 5, 4, 1.9),
        Burst('batch', 4, 5, 2.2),
        Burst('gang', 18, 4, 1.7),
    )
    return replace(load, bursts=bursts, seconds=seconds, drained=((12, 0.05),))


def print_report(title: str, report: LoadReport) -> None:
    print(title)
    print(
        _ROW.format(
            'class',
            'offered',
            'in time',
            'served',
            'late',
            'toolate',
            'failed',
            'refused',
            'retried',
            'wait p50',
            'wait p95',
        )
    )
    for name, row in (report.by_class | report.by_tenant).items():
        print(
            _ROW.format(
                name,
                row.offered,
                f'{row.in_time / max(1, row.offered):.3f}',
                f'{row.served:.3f}',
                row.late,
                row.too_late,
                row.failed,
                row.refused,
                row.retried,
                f'{row.wait_at(50):.3f}',
                f'{row.wait_at(95):.3f}',
            )
        )
    print(
        f'starts {report.starts}, stopped {report.stopped_share:.3f}, '
        f'core-seconds worked {report.worked_core_seconds:.0f}, '
        f'lost {sum(report.lost.values()):.0f}'
    )
    lost = {
        reason: round(core_seconds)
        for reason, core_seconds in report.lost.most_common(_SHOWN_LOSSES)
    }
    print(f'lost {lost}, ended {dict(report.ended)}')
    print(
        f'processors busy {report.busy_share:.3f}, '
        f'workers reserved {report.reserved_share:.3f}'
    )
    shares = {
        name: round(share, 3) for name, share in report.slow_shares.items()
    }
    print(f'starts on the slowest workers {shares}')
    print(dict(report.stops.most_common(8)))
    if report.refusals:
        print('refusals', dict(sorted(report.refusals.items())))
    for name, errors in report.errors.items():
        if len(errors) > 1:
            deciles = statistics.quantiles(errors, n=10)
            print(
                f'estimate error of {name}: {len(errors)} delayed, '
                f'10% {deciles[0]:.1f} s, median {deciles[4]:.1f} s, '
                f'90% {deciles[8]:.1f} s'
            )
    print(
        f'{report.rounds} rounds of '
        f'{report.round_seconds / max(1, report.rounds) * 1000:.1f} ms, '
        f'processor charged {report.charged:.1f} s, '
        f'played in {report.took:.1f} s\n'
    )


def print_wrong_refusals(
    report: LoadReport, without_admission: LoadReport
) -> None:
    """Prints how many refused jobs would have completed if accepted.

    Judged by what became of the same job in a play in which nothing is refused.
    """
    for what, refused in (
        ('at first', report.refused_at_first),
        (
            'in the end',
            {name for name, end in report.results.items() if end == 'refused'},
        ),
    ):
        ends = Counter(without_admission.results[name] for name in refused)
        wrong = ends['in time'] + ends['late']
        print(f'refused {what}: {len(refused)}, wrongly {wrong}; {dict(ends)}')


def print_brief(title: str, report: LoadReport) -> None:
    """Prints what callers got in one line for each class."""
    lost = sum(report.lost.values())
    worked = report.worked_core_seconds
    print(
        f'{title}: stopped {report.stopped_share:.3f}, '
        f'lost {lost / max(1, worked):.4f} of {worked:.0f} core-seconds '
        f'({dict(report.stops.most_common(4))}, for {dict(report.preemptors)})'
    )
    for name, row in report.by_class.items():
        if ' ' in name:
            continue
        wide = report.by_class[f'{name} wide']
        top = report.by_class[f'{name} top']
        print(
            f'  {name:10} in time {row.in_time / max(1, row.offered):.3f}, '
            f'served {row.served:.3f}, wide {wide.served:.3f}, '
            f'top {top.served:.3f}, late {row.late}, '
            f'too late {row.too_late}, failed {row.failed}, '
            f'refused {row.refused}'
        )
    tenants = {
        name: row.served
        for name, row in report.by_tenant.items()
        if name != FLOOD_TENANT
    }
    if tenants:
        flooding = report.by_tenant[FLOOD_TENANT].served
        print(
            f'  tenants: worst {min(tenants.values()):.3f}, mean '
            f'{statistics.mean(tenants.values()):.3f}, that of the flood '
            f'{flooding:.3f}'
        )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument(
        '--workers', type=int, nargs='*', default=[24, 176, 270]
    )
    parser.add_argument('--like', choices=sorted(LOADS))
    parser.add_argument('--share', type=float, default=1.0)
    parser.add_argument('--seconds', type=float, default=30)
    parser.add_argument('--seed', type=int, nargs='*', default=[1])
    parser.add_argument('--brief', action='store_true')
    parser.add_argument(
        '--speed',
        type=float,
        default=0,
        help='charge processor time, of a processor this many times as fast',
    )
    parser.add_argument('--kind', choices=sorted(KINDS), default='mixed')
    parser.add_argument(
        '--worker-speeds',
        type=float,
        nargs='*',
        help='speeds of the workers, in turn; by default those of the kind',
    )
    parser.add_argument(
        '--compare',
        action='store_true',
        help='play it also without refusing jobs, and judge the refusals',
    )
    arguments = parser.parse_args()
    for workers in arguments.workers:
        if arguments.like:
            make = LOADS[arguments.like]
            load = make(workers, arguments.seconds, arguments.share)
        else:
            load = make_busy_load(
                workers, arguments.share, arguments.seconds, arguments.kind
            )
        if arguments.worker_speeds:
            load = replace(load, speeds=tuple(arguments.worker_speeds))
        show = print_brief if arguments.brief else print_report
        for seed in arguments.seed:
            title = f'{load.name}, seed {seed}'
            report = play(load, seed, arguments.speed)
            show(title, report)
            if arguments.compare:
                former = play(load, seed, arguments.speed, admission=False)
                show(f'{title}, nothing refused', former)
                print_wrong_refusals(report, former)


if __name__ == '__main__':
    main()
