"""Output as tables, JSON and error messages."""

import json
import sys
from collections.abc import Sequence
from typing import Any

from mulberryhitch.errors import MulberryhitchError


def show_json(content: Any) -> None:
    """Prints a value as indented JSON."""
    print(json.dumps(content, indent=2))


def show_table(columns: Sequence[str], rows: Sequence[dict[str, Any]]) -> None:
    """Prints the named values of the rows as aligned columns."""
    cells = [[_format_cell(row.get(name)) for name in columns] for row in rows]
    header = [name.replace('_', ' ').upper() for name in columns]
    widths = [
        max(len(line[column]) for line in (header, *cells))
        for column in range(len(columns))
    ]
    for line in (header, *cells):
        padded = (
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        )
        print('  '.join(padded).rstrip())


def show_error(error: MulberryhitchError) -> None:
    """Prints an error to standard error, with its location and advice."""
    location = f' ({error.where})' if error.where else ''
    print(f'{error.code}: {error.what}{location}', file=sys.stderr)
    print(f'outcome: {error.outcome.value}', file=sys.stderr)
    print(f'next: {error.advice}', file=sys.stderr)


def _format_cell(value: Any) -> str:
    if isinstance(value, float):
        return f'{value:.4f}'
    if isinstance(value, list):
        return ', '.join(str(item) for item in value)
    return '' if value is None else str(value)
