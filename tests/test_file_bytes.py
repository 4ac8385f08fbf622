"""Ranges of a file that are read as if they were slices of its content."""

import os
import random
from pathlib import Path

from mulberryhitch.replication import file_bytes
from mulberryhitch.replication.file_bytes import FileBytes

SIZE = 3 * file_bytes._WINDOW_BYTES + 100


def _content() -> bytes:
    rng = random.Random(1)
    return bytes(rng.choice(b'abc') for _ in range(SIZE))


def _open(path: Path, content: bytes) -> FileBytes:
    path.write_bytes(content)
    return FileBytes(os.open(path, os.O_RDONLY))


def test_ranges_are_slices_of_the_content(tmp_path: Path) -> None:
    content = _content()
    reader = _open(tmp_path / 'log', content)
    rng = random.Random(2)
    edges = [0, 1, SIZE - 1, SIZE, SIZE + 5, file_bytes._WINDOW_BYTES]
    for _ in range(2000):
        start = rng.choice([*edges, rng.randrange(SIZE)])
        length = rng.choice([0, 1, 25, 4000, file_bytes._WINDOW_BYTES, SIZE])
        assert (
            reader.read(start, start + length)
            == (content[start : start + length])
        )


def test_a_pattern_is_found_where_the_content_has_it(tmp_path: Path) -> None:
    content = _content()
    reader = _open(tmp_path / 'log', content)
    position = content.find(b'abcabcab')
    found = reader.find(b'abcabcab', 0)
    while position >= 0:
        assert found == position
        reader.read(position - 50, position + 30)
        position = content.find(b'abcabcab', position + 1)
        found = reader.find(b'abcabcab', found + 1)
    assert found == -1


def test_a_pattern_across_the_end_of_a_window_is_found(tmp_path: Path) -> None:
    for position in range(
        file_bytes._WINDOW_BYTES - 9, file_bytes._WINDOW_BYTES + 2
    ):
        content = bytes(position) + b'saltsalt' + bytes(20)
        reader = _open(tmp_path / 'log', content)
        assert reader.find(b'saltsalt', 0) == position
        assert reader.find(b'saltsalt', position) == position
        assert reader.find(b'saltsalt', position + 1) == -1
