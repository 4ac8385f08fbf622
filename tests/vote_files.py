"""Builders of vote files."""

from pathlib import Path

from mulberryhitch.replication.durable_files import write_atomically
from mulberryhitch.replication.vote_file import (
    BLOCK_BYTES,
    SLOT_OFFSETS,
    VoteFile,
)
from mulberryhitch.rpc.codec import encode_record
from mulberryhitch.rpc.messages import VoteRecord


def write_former_vote(path: Path, vote: VoteRecord) -> None:
    """Writes a vote file of the former format, a single record."""
    write_atomically(path, encode_record(vote))


def slots_of(path: Path, vote: VoteRecord) -> bytes:
    """Returns a vote file with slots, written to a path."""
    path.unlink(missing_ok=True)
    VoteFile(path).save(vote)
    return path.read_bytes()


def flipped(content: bytes, *positions: int) -> bytes:
    """Returns a content with a bit flipped at each position."""
    damaged = bytearray(content)
    for position in positions:
        damaged[position] ^= 0x40
    return bytes(damaged)


def torn_saves(before: bytes, after: bytes) -> list[tuple[bytes, bool]]:
    """Returns what a loss of power may leave of a save.

    Returns:
        Each content, and whether its first slot was written completely.
    """
    first, second = SLOT_OFFSETS
    torn = []
    for written in range(BLOCK_BYTES + 1):
        end = first + written
        content = after[:end] + before[end:]
        torn.append((content, content[:second] == after[:second]))
        end = second + written
        torn.append((after[:end] + before[end:], True))
    return torn
