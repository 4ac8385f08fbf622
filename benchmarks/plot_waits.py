"""Draws waits by class of both orders: ``python -m benchmarks.plot_waits``.

Needs the extra ``plots``; writes into ``docs/measurements``.
"""

import sys
from pathlib import Path

import matplotlib as mpl
from matplotlib import pyplot as plt

from benchmarks.bench_placement import SECONDS
from benchmarks.work import SITES, drive, make_work

FOLDER = Path(__file__).parent.parent / 'docs' / 'measurements'
CLASSES = ('urgent', 'high', 'normal', 'gang', 'deferrable')


def main() -> int:
    """Draws one picture a site of today, in a flood of three times."""
    mpl.use('Agg')
    for site in SITES[:2]:
        work = make_work(site, 1, SECONDS, 0.7, 3.0)
        figure, axes = plt.subplots(1, 2, figsize=(10, 4), sharey=True)
        for axis, order in zip(axes, ('fifo', 'fair'), strict=True):
            report = drive(site, work, order, SECONDS)
            for name in CLASSES:
                waits = sorted(report.waits[name])
                parts = [place / len(waits) for place in range(len(waits))]
                axis.plot(
                    [max(wait, 0.05) for wait in waits], parts, label=name
                )
            axis.set_xscale('log')
            axis.set_title(f'{site.name}, {order}')
            axis.set_xlabel('wait, seconds')
        axes[0].set_ylabel('part of the tasks')
        axes[1].legend()
        figure.tight_layout()
        figure.savefig(FOLDER / f'waits-{site.name}.png', dpi=70)
    return 0


if __name__ == '__main__':
    sys.exit(main())
