"""Random days of groups whose disks fill, stall, tear writes and are lost."""

from pathlib import Path

import pytest

from mulberryhitch.replication.file_storage import RESERVE_BYTES
from mulberryhitch.replication.options import ReplicationOptions
from tests.bounded_disks import MEBIBYTE
from tests.random_disks import Sizes, play

DEFAULTS = Sizes(128 * MEBIBYTE, RESERVE_BYTES, MEBIBYTE, ReplicationOptions())


@pytest.mark.parametrize('seed', (0, 8, 11))
def test_a_group_elects_leaders_and_answers_whatever_its_disks_hold(
    tmp_path: Path, seed: int
) -> None:
    play(seed, tmp_path, rounds=2)


def test_a_group_with_default_sizes_answers_whatever_its_disks_hold(
    tmp_path: Path,
) -> None:
    play(1, tmp_path, DEFAULTS, rounds=1)
