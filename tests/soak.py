"""Runs random fault scripts for a long time: ``make soak SEED=1 STEPS=2000``.

Plays scripts of 60 steps, one seed after another, until the requested number
of steps is done. Stops at the first script that violates an invariant, unless
SOAK_KEEP_GOING is set, and prints its seed.
"""

import os
import sys
import time
import traceback

from tests.fault_scripts import (
    DATA_CENTRE_ACTIONS,
    ENTRY_ACTIONS,
    GROUP_ACTIONS,
    DataCentrePlayer,
    EntryPlayer,
    GroupPlayer,
    random_steps,
)
from tests.replica_group import run_with_mock_clock

_SCRIPT_STEPS = 60


def play(kind: str, seed: int) -> None:
    """Plays one random script.

    Args:
        kind: Number of replicas in a group, ``centre`` or ``entries``.
        seed: Seed of the script and its player.
    """
    if kind == 'centre':
        steps = random_steps(seed, _SCRIPT_STEPS, DATA_CENTRE_ACTIONS)
        run_with_mock_clock(DataCentrePlayer(seed).play, steps)
        return
    if kind == 'entries':
        steps = random_steps(seed, _SCRIPT_STEPS, ENTRY_ACTIONS)
        run_with_mock_clock(EntryPlayer(seed).play, steps)
        return
    steps = random_steps(seed, _SCRIPT_STEPS, GROUP_ACTIONS)
    run_with_mock_clock(GroupPlayer(int(kind), seed).play, steps)


def main() -> int:
    """Plays scripts until the steps are done; returns the exit status."""
    seed = int(os.environ.get('SOAK_SEED', '1'))
    step_limit = int(os.environ.get('SOAK_STEPS', '2000'))
    kinds = os.environ.get('SOAK_KINDS', '3 5 centre entries').split()
    started_at = time.monotonic()
    done = 0
    failures = 0
    while done < step_limit:
        for kind in kinds:
            try:
                play(kind, seed)
            except BaseException:  # noqa: BLE001
                failures += 1
                print(f'FAILED kind={kind} seed={seed}')
                traceback.print_exc(limit=-4, chain=False)
                if not os.environ.get('SOAK_KEEP_GOING'):
                    return 1
            done += _SCRIPT_STEPS
        seed += 1
    seconds = time.monotonic() - started_at
    print(f'{done} steps, {failures} failures, in {seconds:.0f} s')
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())
