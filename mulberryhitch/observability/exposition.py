"""Counters and histograms of a process as text, one figure a line."""

from collections.abc import Iterator, Mapping

from mulberryhitch.observability.histograms import Histograms

_PREFIX = 'mulberryhitch'


def render_exposition(counts: Mapping[str, int], histograms: Histograms) -> str:
    """All figures, sorted by name.

    Args:
        counts: How often each event was logged.
        histograms: Times in seconds.
    """
    return ''.join(f'{line}\n' for line in _lines(counts, histograms))


def _lines(counts: Mapping[str, int], histograms: Histograms) -> Iterator[str]:
    for event, count in sorted(counts.items()):
        yield f'{_PREFIX}_events_total{{event="{event}"}} {count}'
    for one in histograms.summaries():
        labels = f'name="{one.name}",of="{one.tenant}",kind="{one.label}"'
        base = f'{_PREFIX}_seconds'
        yield f'{base}_count{{{labels}}} {one.count}'
        for quantile, seconds in (
            ('0.5', one.median),
            ('0.99', one.p99),
            ('1', one.worst),
        ):
            yield f'{base}{{{labels},quantile="{quantile}"}} {seconds:.6f}'
