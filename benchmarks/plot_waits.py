"""Plots waits by class for both orders: ``python -m benchmarks.plot_waits``.

Needs the extra ``plots``; writes into ``docs/measurements``.
"""

import sys
from pathlib import Path

import matplotlib as mpl
from matplotlib import pyplot as plt

from benchmarks.bench_placement import SIMULATED_SECONDS
from benchmarks.simulation import SITES, generate_arrivals, simulate

OUTPUT_FOLDER = Path(__file__).parent.parent / 'docs' / 'measurements'
WAIT_CLASSES = ('urgent', 'high', 'normal', 'gang', 'deferrable')


def main() -> int:
    """Plots each example site, with a flood of three times its capacity."""
    mpl.use('Agg')
    for site in SITES[:2]:
        arrivals = generate_arrivals(site, 1, SIMULATED_SECONDS, 0.7, 3.0)
        figure, axes = plt.subplots(1, 2, figsize=(10, 4), sharey=True)
        for axis, order in zip(axes, ('fifo', 'fair'), strict=True):
            result = simulate(site, arrivals, order, SIMULATED_SECONDS)
            for wait_class in WAIT_CLASSES:
                waits = sorted(result.waits[wait_class])
                fractions = [index / len(waits) for index in range(len(waits))]
                axis.plot(
                    [max(wait, 0.05) for wait in waits],
                    fractions,
                    label=wait_class,
                )
            axis.set_xscale('log')
            axis.set_title(f'{site.name}, {order}')
            axis.set_xlabel('wait, seconds')
        axes[0].set_ylabel('part of the tasks')
        axes[1].legend()
        figure.tight_layout()
        figure.savefig(OUTPUT_FOLDER / f'waits-{site.name}.png', dpi=70)
    return 0


if __name__ == '__main__':
    sys.exit(main())
