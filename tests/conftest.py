"""Reports failures that KNOWN-RED.txt lists without failing the run.

A ``ci:`` line there names a test and a regular expression for its message. A
listed test that fails with a matching message is reported as an expected
failure and printed; with any other message it fails as usual.
"""

import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

_KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'
_ENTRY = re.compile(r'^\s*ci: (?P<test>\S+) (?P<message>.+)$', re.MULTILINE)


def known_failures(text: str) -> dict[str, str]:
    """Returns the regular expression of each listed test's message."""
    return {entry['test']: entry['message'] for entry in _ENTRY.finditer(text)}


def is_known_failure(
    known: dict[str, str], test: str, error: BaseException
) -> bool:
    """Whether all errors of a test's failure are as listed for it."""
    pattern = known.get(test)
    if pattern is None:
        return False
    if isinstance(error, BaseExceptionGroup):
        return all(
            is_known_failure(known, test, each) for each in error.exceptions
        )
    return bool(re.fullmatch(pattern, str(error)))


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Iterator[None]:
    """Marks a known failure as expected."""
    outcome: Any = yield
    report = outcome.get_result()
    if call.when != 'call' or not report.failed or call.excinfo is None:
        return
    known = known_failures(_KNOWN_RED.read_text(encoding='utf-8'))
    if is_known_failure(known, item.nodeid, call.excinfo.value):
        report.outcome = 'skipped'
        report.wasxfail = f'listed in KNOWN-RED.txt: {call.excinfo.value}'


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Prints the known failures of this run."""
    for report in terminalreporter.stats.get('xfailed', ()):
        terminalreporter.write_line(f'{report.nodeid}: {report.wasxfail}')
