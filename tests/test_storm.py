"""A short run of the programs under random faults; see tests/storm.py."""

from pathlib import Path

import anyio
import pytest

from tests.storm import play

SEEDS = (1, 2)
SECONDS = 8


@pytest.mark.parametrize('seed', SEEDS)
def test_guarantees_hold_while_processes_and_links_fail(
    seed: int, tmp_path: Path
) -> None:
    anyio.run(play, seed, SECONDS, tmp_path)
