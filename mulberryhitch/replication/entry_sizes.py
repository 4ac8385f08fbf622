"""The sizes of log entries."""

from mulberryhitch.rpc.messages import LogEntry

# What a record in the log file has beside the body of its entry.
_RECORD_OVERHEAD_BYTES = 64


def body_stored_bytes(body: bytes) -> int:
    """Returns about how many bytes an entry with this body takes."""
    return len(body) + _RECORD_OVERHEAD_BYTES


def stored_bytes(entry: LogEntry) -> int:
    """Returns about how many bytes an entry takes in a log file."""
    return body_stored_bytes(entry.body)
