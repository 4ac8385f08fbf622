"""Tenants, keys, caps and public routes of the platform's configuration."""

from typing import Any

import orjson
import pytest

from mulberryhitch.errors import InvalidInputError
from mulberryhitch.jobs.model import Resources
from mulberryhitch.platform.wire import read_table
from tests.platform_harness import make_configuration
from tests.tenant_data import digest

ROW = {
    'name': 'kaje80',
    'api_keys': ['gkcuyj8pjbvk9m68k7b2'],
    'priority': 1,
    'weight': 44,
    'cap': {'cpu': 1707707, 'mem_mb': 6102690, 'gpu': 0},
}


def encode(*rows: Any, **route: Any) -> bytes:
    content = make_configuration(3, **route)
    return orjson.dumps({**content, 'tenants': list(rows)})


def test_tenants_are_read_with_digests_weights_and_caps() -> None:
    """Guards against keys kept as they are, and limits read wrongly."""
    table = read_table(encode(ROW, {'name': 'b'}))
    first, second = table.tenants
    assert first.name == 'kaje80'
    assert first.key_digests == (digest('gkcuyj8pjbvk9m68k7b2'),)
    assert first.weight == 44
    assert first.cap == Resources(1707707, 6102690, 0)
    assert second.weight == 1
    assert not any(second.cap)
    assert not second.key_digests


def test_a_route_needs_keys_unless_it_is_public_or_there_are_no_tenants() -> (
    None
):
    """Guards against open routes, and against keys that nobody has."""
    assert not read_table(encode(ROW)).queues[0].public
    assert not read_table(encode()).queues[0].public
    assert read_table(encode(ROW, public=True)).queues[0].public
    for route in ({}, {'public': False}):
        content = orjson.dumps(make_configuration(3, **route))
        assert read_table(content).queues[0].public


@pytest.mark.parametrize(
    ('rows', 'where'),
    [
        ([ROW, {**ROW, 'name': 'b'}], '1.api_keys.0'),
        ([ROW, {**ROW, 'api_keys': []}], '1.name'),
        ([{**ROW, 'weight': -1}], '0.weight'),
        ([{**ROW, 'weight': 'much'}], '0.weight'),
        ([{**ROW, 'cap': {'cpu': -1}}], '0.cap.cpu'),
        ([{**ROW, 'cap': {'mem_mb': -1}}], '0.cap.mem_mb'),
        ([{**ROW, 'cap': {'gpu': -1}}], '0.cap.gpu'),
        ([{**ROW, 'cap': None}], '0.cap'),
        ([{**ROW, 'name': ''}], '0.name'),
        ([{**ROW, 'api_keys': ['']}], '0.api_keys.0'),
        ([{**ROW, 'api_keys': 'key'}], '0.api_keys'),
        ([{'weight': 1}], '0.name'),
        ([{**ROW, 'api_keys': [str(key) for key in range(4001)]}], ''),
        ([3], '0'),
    ],
)
def test_an_invalid_tenant_is_refused_with_its_field(
    rows: list[Any], where: str
) -> None:
    """Guards against a configuration of which a part has no effect."""
    with pytest.raises(InvalidInputError) as caught:
        read_table(encode(*rows))
    field = f'config.tenants.{where}'.rstrip('.')
    assert caught.value.where == field
    assert 'gkcuyj8pjbvk9m68k7b2' not in caught.value.what


@pytest.mark.parametrize(
    ('change', 'where'),
    [
        ({'tenants': None}, 'config.tenants'),
        ({'tenants': {}}, 'config.tenants'),
    ],
)
def test_tenants_that_are_no_list_are_refused(
    change: dict[str, Any], where: str
) -> None:
    """Guards against a malformed field that opens all routes."""
    content = {**make_configuration(3), **change}
    with pytest.raises(InvalidInputError) as caught:
        read_table(orjson.dumps(content))
    assert caught.value.where == where


def test_a_key_may_be_listed_twice_by_its_own_tenant() -> None:
    table = read_table(encode({**ROW, 'api_keys': ['k', 'k']}))
    assert table.tenants[0].key_digests == (digest('k'),)
