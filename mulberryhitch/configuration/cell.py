"""The cell's replicated state: the configuration, its history, its keys."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from mulberryhitch.configuration.operations import (
    ChangeConfiguration,
    ConfigurationChanged,
    ConfigurationView,
)
from mulberryhitch.errors import (
    InvariantError,
    NotFoundError,
    VersionConflictError,
)
from mulberryhitch.rpc.messages import LogEntry
from mulberryhitch.rpc.records import decode, decode_as, encode

_MAX_VERSIONS = 200
_MAX_KEYS = 10_000


@dataclass(frozen=True, slots=True)
class _IdempotencyKey:
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class _Snapshot:
    history: list[ConfigurationView]
    keys: list[_IdempotencyKey]


class CellState:
    """The state machine of the cell's log."""

    def __init__(self) -> None:
        """Starts with no configuration."""
        self._history: list[ConfigurationView] = []
        self._keys: OrderedDict[str, int] = OrderedDict()

    @property
    def version(self) -> int:
        """The version in force; zero before the first."""
        return self._history[-1].version if self._history else 0

    @property
    def newest(self) -> ConfigurationView | None:
        """The configuration in force."""
        return self._history[-1] if self._history else None

    def view(self, version: int) -> ConfigurationView:
        """One version; zero for the newest.

        Raises:
            NotFoundError: It is not kept, or no more.
        """
        for view in reversed(self._history):
            if version in {0, view.version}:
                return view
        raise NotFoundError('no such version', where=str(version))

    def apply(self, entry: LogEntry) -> Any:
        """Applies one committed change.

        Raises:
            VersionConflictError: Another change came first.
        """
        change: ChangeConfiguration = decode(entry.kind, entry.body)
        if change.key and change.key in self._keys:
            return ConfigurationChanged(self._keys[change.key])
        if change.expected_version != self.version:
            raise VersionConflictError(
                f'version {self.version} is in force, '
                f'not {change.expected_version}',
                where=str(self.version),
            )
        view = ConfigurationView(
            self.version + 1, change.document, change.author, change.at
        )
        self._history.append(view)
        self._history = self._history[-_MAX_VERSIONS:]
        if change.key:
            self._keys[change.key] = view.version
        while len(self._keys) > _MAX_KEYS:
            self._keys.popitem(last=False)
        return ConfigurationChanged(view.version)

    def snapshot(self) -> bytes:
        """The whole state as JSON."""
        keys = [_IdempotencyKey(*pair) for pair in self._keys.items()]
        return encode(_Snapshot(self._history, keys))

    def restore(self, state: bytes) -> None:
        """Takes over a whole state.

        Raises:
            InvariantError: It is older than what was in force here.
        """
        snapshot = decode_as(_Snapshot, state)
        version = snapshot.history[-1].version if snapshot.history else 0
        if version < self.version:
            raise InvariantError('the configuration would revert')
        self._history = snapshot.history
        self._keys = OrderedDict(
            (one.key, one.version) for one in snapshot.keys
        )
