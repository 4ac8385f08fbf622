"""Counters, gauges and timers, sent to a statsd server if configured."""

from typing import Any

import statsd

from mulberryhitch.constants import MILLISECONDS_PER_SECOND


class Metrics:
    """The metrics of one process.

    Args:
        prefix: Prefix of every metric name.
        host: The server's IP address; empty to send nothing.
        port: The server's UDP port.
    """

    def __init__(self, prefix: str, host: str = '', port: int = 8125) -> None:
        """Opens a UDP socket if a server is configured."""
        self._client: Any = None
        if host:
            self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Records a duration in seconds; it is sent in milliseconds."""
        if self._client is not None:
            self._client.timing(name, seconds * MILLISECONDS_PER_SECOND)
