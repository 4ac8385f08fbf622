"""Who owns the slots of a backend server.

The backend server itself arbitrates: it keeps to one owner until that owner's
lease has run out. A lease is anchored to the owner's own clock, as it stood
in a heartbeat of the owner, and so ends for the owner before it ends for the
server, however late any message between them came.
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
    """An owner's lease, as a backend server is offered it.

    Attributes:
        anchor: The owner's own clock when it was last heard.
    """

    owner: str
    anchor: float
    lease_seconds: float = OWNERSHIP_LEASE_SECONDS


def ownership_ends_at(anchor: float) -> float:
    """When an owner must stop using the slots, on its own clock."""
    return anchor + OWNERSHIP_LEASE_SECONDS - CLOCK_DRIFT_SECONDS


def choose_by_rendezvous_hash(hash_key: str, candidates: Iterable[str]) -> str:
    """The owner by rendezvous hashing: few servers move with a member."""
    return max(
        candidates,
        key=lambda candidate: hashlib.blake2b(
            f'{candidate}|{hash_key}'.encode(), digest_size=8
        ).digest(),
        default='',
    )
