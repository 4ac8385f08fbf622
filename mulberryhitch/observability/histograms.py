"""Histograms of waits and answers, for each tenant and class."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from mulberryhitch.constants import MICROSECONDS_PER_SECOND

_MAX_MICROSECONDS = 3600 * MICROSECONDS_PER_SECOND
_SIGNIFICANT_DIGITS = 2


@dataclass(frozen=True, slots=True)
class HistogramSummary:
    """One histogram's figures, in seconds."""

    name: str
    tenant: str
    label: str
    count: int
    median: float
    p99: float
    worst: float


class Histograms:
    """All histograms of one process."""

    def __init__(self) -> None:
        """Starts with none."""
        self._histograms: dict[tuple[str, str, str], HdrHistogram] = {}

    def record(
        self, name: str, tenant: str, label: str, seconds: float
    ) -> None:
        """Notes one time."""
        key = (name, tenant, label)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        microseconds = int(seconds * MICROSECONDS_PER_SECOND)
        highest = _MAX_MICROSECONDS
        histogram.record_value(min(max(microseconds, 1), highest))

    def summaries(self) -> list[HistogramSummary]:
        """The figures of all histograms, by name, tenant and label."""
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


def _percentile_seconds(histogram: HdrHistogram, percentile: float) -> float:
    microseconds = histogram.get_value_at_percentile(percentile)
    return float(microseconds) / MICROSECONDS_PER_SECOND
