"""Constants shared by several packages."""

from typing import Final

MILLISECONDS_PER_SECOND: Final = 1000
MICROSECONDS_PER_SECOND: Final = 1_000_000
BYTES_PER_MEBIBYTE: Final = 1024 * 1024
# Assumed where the settings give no memory.
SMALLEST_MEMORY_BYTES: Final = 160_000_000

HEARTBEAT_INTERVAL_SECONDS: Final = 1.0
MEMBER_TIMEOUT_SECONDS: Final = 3.0
ANNOUNCEMENT_TIMEOUT_SECONDS: Final = 3.0
RPC_CONNECT_TIMEOUT_SECONDS: Final = 1.0
# A connection on which a result is overdue for this time is closed.
RPC_SILENCE_SECONDS: Final = 1.0
RPC_MAX_FRAME_BYTES: Final = 16 * BYTES_PER_MEBIBYTE
RPC_MAX_PENDING_CALLS: Final = 1024
# The frame that sends an operation's log entry to a replica has other fields.
OPERATION_MAX_BYTES: Final = 12 * BYTES_PER_MEBIBYTE

TASK_LEASE_SECONDS: Final = 5.0
TASK_LEASE_RENEWAL_SECONDS: Final = 1.0
# Maximum clock drift that leases and deadlines allow for.
CLOCK_DRIFT_SECONDS: Final = 0.5

OWNERSHIP_LEASE_SECONDS: Final = 5.0
# Time after a lease's end before a server accepts another owner.
OWNERSHIP_GUARD_SECONDS: Final = 0.5
ANNOUNCEMENT_INTERVAL_SECONDS: Final = 1.0

REQUEST_DEADLINE_SECONDS: Final = 30.0
REQUEST_HEADER_LIMIT_BYTES: Final = 16 * 1024
REQUEST_BODY_LIMIT_BYTES: Final = 16 * BYTES_PER_MEBIBYTE
REQUEST_BODY_BUFFER_BYTES: Final = 64 * 1024
RESPONSE_BUFFER_BYTES: Final = BYTES_PER_MEBIBYTE
STORED_RESPONSE_LIMIT_BYTES: Final = 64 * 1024

SLOTS_PER_BACKEND_SERVER: Final = 8
CONNECTIONS_PER_BACKEND_SERVER: Final = 64

LEDGER_RETENTION_SECONDS: Final = 86_400.0
LEDGER_MAX_ENTRIES: Final = 100_000

FIRST_REQUEST_TIMEOUT_SECONDS: Final = 10.0
CLIENT_KEEPALIVE_SECONDS: Final = 75
UPSTREAM_KEEPALIVE_SECONDS: Final = 4.0

DRAIN_SECONDS: Final = 10.0
# Time for the load balancer to notice that a stopping entry is not ready.
READINESS_DELAY_SECONDS: Final = 0.5
