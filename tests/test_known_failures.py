"""Only failures that KNOWN-RED.txt lists pass over, by test and message."""

from tests.conftest import is_known_failure, known_failures

LISTED = 'An entry.\n  ci: tests/test_a.py::test_b[1] entry-[0-9] ended\n'
TEST = 'tests/test_a.py::test_b[1]'


def test_only_a_listed_test_with_its_listed_message_is_known() -> None:
    known = known_failures(LISTED)
    assert list(known) == [TEST]
    assert is_known_failure(known, TEST, AssertionError('entry-0 ended'))
    assert not is_known_failure(known, TEST, AssertionError('entry-0 ended 1'))
    assert not is_known_failure(known, TEST, AssertionError('job lost'))
    other = 'tests/test_a.py::test_b[2]'
    assert not is_known_failure(known, other, AssertionError('entry-0 ended'))


def test_all_errors_of_a_group_have_to_be_known() -> None:
    known = known_failures(LISTED)
    listed = AssertionError('entry-0 ended')
    group = ExceptionGroup('', [listed, ExceptionGroup('', [listed])])
    assert is_known_failure(known, TEST, group)
    other = ExceptionGroup('', [listed, AssertionError('job lost')])
    assert not is_known_failure(known, TEST, other)
