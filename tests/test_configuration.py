"""Configuration: merging, increasing versions, restore from a snapshot."""

import time

import orjson
import pytest

from mulberryhitch.configuration.cell import CellState
from mulberryhitch.configuration.holder import ConfigurationHolder
from mulberryhitch.configuration.models import CellDocument
from mulberryhitch.configuration.operations import ChangeConfiguration
from mulberryhitch.configuration.overlays import merge
from mulberryhitch.errors import (
    InvalidInputError,
    InvariantError,
    NotFoundError,
    VersionConflictError,
)
from mulberryhitch.rpc.messages import LogEntry
from mulberryhitch.rpc.records import encode, kind_of

MEBIBYTE = 1024 * 1024


def make_change(expected: int, key: str = '', weight: int = 1) -> LogEntry:
    document = f'{{"base": {{"tenants": {{"north": {{"weight": {weight}}}}}}}}}'
    change = ChangeConfiguration(document, expected, key, 'me', time.time())
    return LogEntry(1, 1, kind_of(change), encode(change))


def test_an_overlay_overrides_the_base() -> None:
    base = {'a': {'b': 1, 'c': 2}, 'd': [1]}
    assert merge(base, {'a': {'b': 3, 'c': None}, 'd': []}) == {
        'a': {'b': 3},
        'd': [],
    }


def test_an_error_names_the_overlay_and_the_path() -> None:
    document = CellDocument(
        base={'tenants': {'north': {}}},
        data_centres={'muscat': {'tenants': {'north': {'weight': -1}}}},
    )
    with pytest.raises(InvalidInputError) as caught:
        document.check(['muscat'])
    assert 'muscat' in caught.value.where
    assert caught.value.where.endswith('/tenants/north/weight')
    with pytest.raises(InvalidInputError):
        CellDocument(data_centres={'nowhere': {}}).check(['muscat'])


def test_one_of_two_changes_wins_and_a_resend_gets_the_first_result() -> None:
    state = CellState()
    assert state.apply(make_change(0, 'a')).version == 1
    with pytest.raises(VersionConflictError):
        state.apply(make_change(0, 'b'))
    assert state.apply(make_change(0, 'a')).version == 1
    assert state.apply(make_change(1, 'b')).version == 2


def test_large_configurations_do_not_fill_the_memory_with_their_history() -> (
    None
):
    state = CellState()
    for number in range(20):
        document = f'{number}{"x" * 4 * MEBIBYTE}'
        change = ChangeConfiguration(document, number, f'key-{number}', 'me', 0)
        state.apply(LogEntry(1, 1, kind_of(change), encode(change)))
    snapshot = state.snapshot()
    assert len(snapshot) < 9 * MEBIBYTE
    assert state.view(0).version == state.version == 20
    with pytest.raises(NotFoundError):
        state.view(1)
    restored = CellState()
    restored.restore(snapshot)
    assert restored.snapshot() == snapshot
    assert restored.apply(make_change(3, 'key-3')).version == 4


def test_a_history_of_an_earlier_release_is_shortened_when_restored() -> None:
    views = [
        {'version': number, 'document': 'x' * MEBIBYTE, 'author': '', 'at': 0}
        for number in range(1, 51)
    ]
    state = CellState()
    state.restore(orjson.dumps({'history': views, 'keys': []}))
    assert (state.version, len(state.snapshot()) < 9 * MEBIBYTE) == (50, True)
    assert state.view(43).version == 43


def test_hundreds_of_changes_survive_a_restart_from_a_snapshot() -> None:
    state = CellState()
    for number in range(500):
        state.apply(make_change(number, f'key-{number}', number + 1))
    restored = CellState()
    restored.restore(state.snapshot())
    assert restored.version == 500
    assert restored.apply(make_change(3, 'key-3')).version == 4
    older = CellState()
    older.apply(make_change(0))
    with pytest.raises(InvariantError):
        restored.restore(older.snapshot())


def test_a_process_applies_only_newer_versions() -> None:
    holder = ConfigurationHolder('muscat')
    assert holder.apply_if_newer(7, '{"base": {"tenants": {"north": {}}}}')
    assert not holder.apply_if_newer(6, '{"base": {}}')
    assert holder.version == 7
    assert 'north' in holder.current.tenants
    with pytest.raises(InvariantError):
        holder.apply_if_newer(7, '{"base": {}}')
