"""Replicated logs: election, agreement, files, membership.

Usable by itself; ``docs/EMBEDDING.md`` shows how.
"""
