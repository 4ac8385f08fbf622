"""Ownership of the slots of a backend server.

The backend server itself arbitrates: it keeps one owner until that owner's
lease has expired. A lease is anchored to the owner's clock as reported in its
heartbeat, so it ends at the owner before it ends at the server, no matter how
long messages between them are delayed.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from mulberryhitch.constants import (
    CLOCK_DRIFT_SECONDS,
    OWNERSHIP_LEASE_SECONDS,
)


@dataclass(frozen=True, slots=True)
class OwnershipOffer:
    """An owner's lease, as offered to a backend server.

    Attributes:
        anchor: The owner's clock in its latest heartbeat.
    """

    owner: str
    anchor: float
    lease_seconds: float = OWNERSHIP_LEASE_SECONDS


def ownership_ends_at(anchor: float) -> float:
    """Returns when an owner must stop using the slots, on its clock."""
    return anchor + OWNERSHIP_LEASE_SECONDS - CLOCK_DRIFT_SECONDS


def choose_by_rendezvous_hash(hash_key: str, candidates: Iterable[str]) -> str:
    """Returns the candidate with the highest hash; empty if there is none.

    Adding or removing a candidate moves few keys.
    """
    return max(
        candidates,
        key=lambda candidate: hashlib.blake2b(
            f'{candidate}|{hash_key}'.encode(), digest_size=8
        ).digest(),
        default='',
    )
