"""Raft-style replicated logs: elections, replication, storage, membership.

The package can be embedded on its own; see ``docs/EMBEDDING.md``.
"""
