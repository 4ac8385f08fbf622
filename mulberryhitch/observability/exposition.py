"""Metrics in the Prometheus text format."""

from collections.abc import Iterator, Mapping

from mulberryhitch.observability.histograms import Histograms

_PREFIX = 'mulberryhitch'


def render_exposition(counts: Mapping[str, int], histograms: Histograms) -> str:
    """Returns event counters and duration summaries, sorted by name.

    Args:
        counts: Number of messages per event, including suppressed ones.
        histograms: Durations in seconds.
    """
    return ''.join(f'{line}\n' for line in _lines(counts, histograms))


def _lines(counts: Mapping[str, int], histograms: Histograms) -> Iterator[str]:
    for event, count in sorted(counts.items()):
        yield f'{_PREFIX}_events_total{{event="{event}"}} {count}'
    for row in histograms.summaries():
        labels = f'name="{row.name}",of="{row.tenant}",kind="{row.label}"'
        base = f'{_PREFIX}_seconds'
        yield f'{base}_count{{{labels}}} {row.count}'
        for quantile, seconds in (
            ('0.5', row.median),
            ('0.99', row.p99),
            ('1', row.worst),
        ):
            yield f'{base}{{{labels},quantile="{quantile}"}} {seconds:.6f}'
