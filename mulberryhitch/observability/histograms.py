"""Histograms of durations, by name, tenant and label."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from mulberryhitch.constants import MICROSECONDS_PER_SECOND

_MAX_MICROSECONDS = 3600 * MICROSECONDS_PER_SECOND
_SIGNIFICANT_DIGITS = 2
# Each takes about 27 KB.
_MAX_HISTOGRAMS = 500
_OTHER = 'other'


@dataclass(frozen=True, slots=True)
class HistogramSummary:
    """Statistics of one histogram; durations are in seconds.

    Attributes:
        tenant: Tenant, queue, log or HTTP method that was measured.
        label: Its subdivision, such as a service, urgency or HTTP status.
    """

    name: str
    tenant: str
    label: str
    count: int
    median: float
    p99: float
    worst: float


class Histograms:
    """All histograms of one process.

    Durations of tenants and labels beyond the maximum number of histograms
    are recorded together, by name, as those of the tenant ``other``.
    """

    def __init__(self) -> None:
        """Initialises the registry without histograms."""
        self._histograms: dict[tuple[str, str, str], HdrHistogram] = {}

    def record(
        self, name: str, tenant: str, label: str, seconds: float
    ) -> None:
        """Records a duration, clamped to the range 1 µs to 1 h."""
        histogram = self._histogram((name, tenant, label))
        microseconds = int(seconds * MICROSECONDS_PER_SECOND)
        maximum = _MAX_MICROSECONDS
        histogram.record_value(min(max(microseconds, 1), maximum))

    def summaries(self) -> list[HistogramSummary]:
        """Returns all summaries, sorted by name, tenant and label."""
        return [
            HistogramSummary(
                *key,
                histogram.get_total_count(),
                _percentile_seconds(histogram, 50),
                _percentile_seconds(histogram, 99),
                _percentile_seconds(histogram, 100),
            )
            for key, histogram in sorted(self._histograms.items())
        ]

    def _histogram(self, key: tuple[str, str, str]) -> HdrHistogram:
        is_new = key not in self._histograms
        if is_new and len(self._histograms) >= _MAX_HISTOGRAMS:
            key = (key[0], _OTHER, '')
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        return histogram


def _percentile_seconds(histogram: HdrHistogram, percentile: float) -> float:
    microseconds = histogram.get_value_at_percentile(percentile)
    return float(microseconds) / MICROSECONDS_PER_SECOND
