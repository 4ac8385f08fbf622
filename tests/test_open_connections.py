"""Which connection a process gives up when it has too many.

Guards against clients that keep others out by holding all connections.
"""

import pytest

from mulberryhitch.http.connection_limits import (
    accepted_at_once,
    connection_limit,
)
from mulberryhitch.http.open_connections import OpenConnections, Stage
from mulberryhitch.observability.log import Log

LIMIT = 3
MEGABYTE = 1_000_000


class FakeConnection:
    """A connection that records whether it was given up."""

    def __init__(self) -> None:
        self.is_given_up = False

    def give_up(self) -> None:
        self.is_given_up = True


class Process:
    """A process that accepts connections, one each second."""

    def __init__(self) -> None:
        self.log = Log('test')
        self.connections = OpenConnections(LIMIT, self.log)
        self.accepted: list[FakeConnection] = []

    def accept(self, stage: Stage = Stage.idle) -> FakeConnection:
        connection = FakeConnection()
        self.accepted.append(connection)
        self.connections.add(connection, len(self.accepted))
        self.connections.move(connection, stage, len(self.accepted))
        return connection

    def given_up(self) -> list[int]:
        return [
            number
            for number, connection in enumerate(self.accepted)
            if connection.is_given_up
        ]


def test_the_connection_that_waits_longest_for_its_client_is_given_up() -> None:
    process = Process()
    for stage in (Stage.answering, Stage.head, Stage.idle):
        process.accept(stage)
    process.accept()
    assert process.given_up() == [1]
    process.accept()
    assert process.given_up() == [1, 2]
    assert process.connections.count == LIMIT


@pytest.mark.parametrize('stage', [Stage.unread, Stage.discarding, Stage.ahead])
def test_clients_that_do_not_read_lose_their_connections_first(
    stage: Stage,
) -> None:
    process = Process()
    for present in (Stage.idle, stage, stage):
        process.accept(present)
    process.accept()
    assert process.given_up() == [1]


def test_a_new_connection_is_given_up_if_all_others_are_answered() -> None:
    process = Process()
    for _ in range(LIMIT):
        process.accept(Stage.answering)
    process.accept()
    assert process.given_up() == [LIMIT]


def test_a_connection_is_counted_from_when_it_began_to_wait() -> None:
    process = Process()
    first, second, _ = (process.accept() for _ in range(LIMIT))
    process.connections.move(first, Stage.answering, 10)
    process.connections.move(first, Stage.idle, 11)
    process.accept()
    assert second.is_given_up
    assert not first.is_given_up


def test_ended_connections_make_room_and_are_counted() -> None:
    process = Process()
    for _ in range(LIMIT):
        connection = process.accept()
        process.connections.remove(connection)
        process.connections.remove(connection)
    for _ in range(LIMIT + 1):
        process.accept()
    assert process.given_up() == [LIMIT]
    assert process.log.counts['connection.opened'] == 2 * LIMIT + 1
    assert process.log.counts['connection.ended'] == LIMIT + 1
    assert process.log.counts['connection.closed.limit_idle'] == 1


def test_a_flood_of_closed_connections_is_one_log_line_a_second() -> None:
    process = Process()
    for number in range(500):
        process.accept()
        process.connections.report(number / 100)
    assert process.log.counts['connection.closed'] == 5


@pytest.mark.parametrize(
    ('megabytes', 'most', 'callers'),
    [(160, 400, 200), (440, 1000, 200), (424, 1000, 400)],
)
def test_the_limit_has_room_for_all_clients_and_fits_the_memory(
    megabytes: int, most: int, callers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr('resource.getrlimit', lambda _: (1638, 1638))
    assert callers <= connection_limit(megabytes * MEGABYTE) <= most


def test_the_limit_leaves_descriptors_for_files_and_new_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('resource.getrlimit', lambda _: (256, 256))
    limit = connection_limit(4000 * MEGABYTE)
    assert limit + 4 * accepted_at_once(limit) <= 256 - 64
