"""Who may call: the keys of the tenants in one configuration.

Keys are known by their SHA-256 digests only. The leader judges each call by the
configuration in its log; an entry uses what it was last told only while it finds
no leader.
"""

import hashlib
import secrets
from collections.abc import Iterable, Iterator

import anyio

from mulberryhitch.clocks import suspended_seconds
from mulberryhitch.dispatch.operations import CallerKeys, GroupInfo
from mulberryhitch.dispatch.placement.cap_rules import check_gangs
from mulberryhitch.errors import ConflictError, UnauthenticatedError
from mulberryhitch.jobs.model import JobSpec, Queue, QueueTable
from mulberryhitch.jobs.state import Job
from mulberryhitch.jobs.store import JobStore

# Digests are looked up by a keyed hash of them, so that the time of a look-up
# tells nothing about the digests that are valid.
_INDEX_KEY = secrets.token_bytes(hashlib.blake2b.MAX_KEY_SIZE)

# An added key is in force 2.5 s after the acknowledgement; from then on nobody
# may deny it. The rest is for clocks that run at different rates.
_TOLD_SECONDS = 2.0


def lasting_time() -> float:
    """Returns seconds on a local clock that counts on in a suspended VM."""
    return anyio.current_time() + suspended_seconds()


def digest_of(key: bytes) -> str:
    """Returns the digest by which a key is known."""
    return hashlib.sha256(key).hexdigest()


class _DigestIndex:
    """Finds the holder of a digest."""

    def __init__(self, holders: Iterable[tuple[str, str]]) -> None:
        self._holders = {_tag(digest): name for digest, name in holders}

    def holder_of(self, digest: str) -> str | None:
        return self._holders.get(_tag(digest))


class JobAccess:
    """Who may call, and whose each job is, by the configuration in force.

    Args:
        job_store: The committed state.
    """

    def __init__(self, job_store: JobStore) -> None:
        """Initialises the access without an index of the keys."""
        self._job_store = job_store
        self._indexed: QueueTable | None = None
        self._index = _DigestIndex(())

    def caller_of(self, queue: Queue, key_digest: str) -> str:
        """Returns the tenant that calls; empty for a caller without a key.

        Raises:
            UnauthenticatedError: The queue is not public, and the key is
                missing or unknown.
        """
        name = self._current_index().holder_of(key_digest)
        if name is None and not queue.public:
            what = 'unknown key' if key_digest else 'no key'
            raise UnauthenticatedError(what, where='Authorization')
        return name or ''

    def owner_of(self, queue: Queue, caller: str) -> str:
        """Returns the tenant to which a new job will belong.

        A job of a public queue belongs to nobody.
        """
        return '' if queue.public else caller

    def check_gangs(self, owner: str, spec: JobSpec) -> None:
        """Checks that a new job can run within its tenant's cap.

        Raises:
            OverQuotaError: It can't.
        """
        check_gangs(spec, self._job_store.tenant(owner))

    def find_job(self, job_id: str, caller: str) -> Job | None:
        """Returns a job if it exists and the caller may see it."""
        job = self._job_store.jobs.get(job_id)
        return job if job and job.tenant in {'', caller} else None

    def check_same_owner(self, job_id: str, caller: str) -> None:
        """Checks that a caller may submit a known job again.

        Raises:
            ConflictError: The job belongs to another tenant.
        """
        if self.find_job(job_id, caller) is None:
            raise ConflictError('the id is that of another job', where='path')

    def caller_keys(self) -> CallerKeys:
        """Returns whom the configuration lets in, for another process."""
        table = self._job_store.queue_table
        public = [queue for queue in table.queues if queue.public]
        if len(public) == len(table.queues):
            return CallerKeys(required=False)
        return CallerKeys(
            True,
            tuple(digest for digest, _ in _holders(table)),
            tuple((queue.host, queue.prefix) for queue in public),
        )

    def _current_index(self) -> _DigestIndex:
        table = self._job_store.queue_table
        if self._indexed is not table:
            self._index = _DigestIndex(_holders(table))
            self._indexed = table
        return self._index


class KnownKeys:
    """The valid keys that this process was last told of.

    Attributes:
        version: Version of their configuration; -1 if none is known.
    """

    def __init__(self) -> None:
        """Initialises the keys; nothing is known yet."""
        self.version = -1
        self._caller_keys: CallerKeys | None = None
        self._index = _DigestIndex(())
        self._told_at: float = 0

    def update(self, reply: GroupInfo, asked_at: float) -> None:
        """Takes over the leader's reply to a report.

        Args:
            reply: The reply.
            asked_at: When the report was sent, as :func:`lasting_time` tells.
        """
        self._told_at = asked_at
        if reply.caller_keys is not None:
            self.version = reply.version
            self._caller_keys = reply.caller_keys
            self._index = _DigestIndex(
                (digest, digest) for digest in reply.caller_keys.digests
            )
        elif reply.version != self.version:
            # A leader of an earlier release tells no keys.
            self.version = -1
            self._caller_keys = None

    def deny(self, host: str, path: str, key_digest: str) -> bool:
        """Whether a call surely has no valid key.

        That is not sure once a key may have been added that is in force.
        """
        keys = self._caller_keys
        if keys is None or not keys.required:
            return False
        if lasting_time() - self._told_at > _TOLD_SECONDS:
            return False
        if self._index.holder_of(key_digest) is not None:
            return False
        return not any(
            host == public_host and path.startswith(prefix)
            for public_host, prefix in keys.public_routes
        )


def _holders(table: QueueTable) -> Iterator[tuple[str, str]]:
    """Yields each valid digest and its tenant."""
    for tenant in table.tenants:
        for digest in tenant.key_digests:
            yield digest, tenant.name


def _tag(digest: str) -> bytes:
    return hashlib.blake2b(digest.encode(), key=_INDEX_KEY).digest()
