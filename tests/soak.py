"""The long mode: ``make soak SEED=1 STEPS=2000``.

Plays scripts of 60 steps, one seed after another, until so many steps are
done; stops at the first that breaks an invariant and names its seed.
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
    """Plays one script of a kind."""
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
    """Plays until the steps are done."""
    seed = int(os.environ.get('SOAK_SEED', '1'))
    wanted = int(os.environ.get('SOAK_STEPS', '2000'))
    kinds = os.environ.get('SOAK_KINDS', '3 5 centre entries').split()
    began = time.monotonic()
    done = 0
    failures = 0
    while done < wanted:
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
    seconds = time.monotonic() - began
    print(f'{done} steps, {failures} failures, in {seconds:.0f} s')
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())
