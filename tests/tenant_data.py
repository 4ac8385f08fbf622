"""Tenants, their keys and configurations that have them, for tests."""

from typing import Any

from mulberryhitch.dispatch.access import digest_of
from mulberryhitch.jobs.model import Queue, QueueTable, Tenant

PRIVATE = Queue('q', 'h', '/q/', 'svc', maximum_failures=2, public=False)
PUBLIC = Queue('open', 'h', '/open/', 'svc', maximum_failures=2)


def digest(key: str) -> str:
    """Returns the digest of a key; empty for no key."""
    return digest_of(key.encode()) if key else ''


def make_tenant(name: str, *keys: str, **fields: Any) -> Tenant:
    """Returns a tenant; without keys, its name is its only key."""
    return Tenant(name, tuple(map(digest, keys or (name,))), **fields)


def make_table(version: int, *tenants: Tenant) -> QueueTable:
    """Returns a configuration with a private and a public queue."""
    queues = (PRIVATE, PUBLIC)
    return QueueTable(version, str(version), queues, tenants=tenants)
