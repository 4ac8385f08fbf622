"""The embedding example runs and returns the documented results."""

import runpy
from pathlib import Path

import anyio

EXAMPLE = Path(__file__).parent.parent / 'examples' / 'embedding.py'


def test_the_embedding_example_runs(tmp_path) -> None:
    example = runpy.run_path(str(EXAMPLE))
    assert anyio.run(example['main'], tmp_path) == [1, 3, 6]
    assert example['retries'](100) == 10
