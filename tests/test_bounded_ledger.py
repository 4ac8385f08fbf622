"""The ledger's stored responses are bounded in bytes; no request runs twice."""

import random

import pytest

from mulberryhitch.errors import CompletedBeforeError, InvariantError
from mulberryhitch.requests.at_most_once import replayed_response
from mulberryhitch.requests.ledger import Ledger, LedgerEntry, StoredResponse
from mulberryhitch.rpc.messages import LogEntry
from mulberryhitch.rpc.records import encode, kind_of
from mulberryhitch.scheduler import commands
from mulberryhitch.scheduler.state import DataCentreState

BODY = b'x' * 64 * 1024
MEBIBYTE = 1024 * 1024


def make_entry(number: int, key: str = '') -> LedgerEntry:
    name = key or f'key-{number}'
    return LedgerEntry('north', name, 'f', f'request-{number}', number, 1e6)


def make_response(body: bytes = BODY) -> StoredResponse:
    return StoredResponse(200, 'text/plain', body, whole=True)


def test_large_responses_do_not_fill_the_memory_and_snapshots() -> None:
    state = DataCentreState()
    for number in range(1000):
        entry = make_entry(number)
        answer = make_response()
        for command in (
            commands.RequestBegun(entry),
            commands.RequestFinished(
                entry.tenant, entry.key, entry.request_id, answer
            ),
        ):
            state.apply(LogEntry(1, 1, kind_of(command), encode(command)))
    snapshot = state.snapshot()
    assert len(snapshot) < 24 * MEBIBYTE
    restored = DataCentreState()
    restored.restore(snapshot)
    assert restored.snapshot() == snapshot
    assert len(state.ledger) == 1000


def test_a_request_whose_response_was_removed_is_not_run_again() -> None:
    ledger = Ledger(1000, 100, 2 * len(BODY))
    for number in range(5):
        entry = ledger.begin(make_entry(number))
        ledger.finish('north', entry.key, entry.request_id, make_response())
    first = ledger.begin(make_entry(50, 'key-0'))
    assert first.request_id == 'request-0'
    with pytest.raises(CompletedBeforeError):
        replayed_response(first)
    last = ledger.begin(make_entry(51, 'key-4'))
    assert replayed_response(last).body == BODY
    ledger.finish('north', 'key-0', 'request-0', make_response())
    assert ledger.begin(make_entry(52, 'key-0')) == first
    with pytest.raises(InvariantError):
        ledger.finish('north', 'key-4', 'request-4', make_response(b'other'))


@pytest.mark.parametrize('seed', range(20))
def test_the_bound_holds_while_keys_come_and_go(seed: int) -> None:
    rng = random.Random(seed)
    limit = 4000
    ledger = Ledger(50, 1000, limit)
    open_entries: list[LedgerEntry] = []
    for number in range(2000):
        entry = ledger.begin(make_entry(number, f'key-{rng.randrange(400)}'))
        if entry.request_id == f'request-{number}':
            open_entries.append(entry)
        if open_entries and rng.random() < 0.8:
            chosen = open_entries.pop(rng.randrange(len(open_entries)))
            if any(one.request_id == chosen.request_id for one in ledger):
                body = b'x' * rng.randrange(300)
                ledger.finish(
                    'north', chosen.key, chosen.request_id, make_response(body)
                )
        stored = sum(
            len(one.answer.body) + len(one.answer.content_type)
            for one in ledger
            if one.answer
        )
        assert stored == ledger._stored_bytes <= limit
        assert len(ledger._answered) <= 2 * len(ledger) + 1
