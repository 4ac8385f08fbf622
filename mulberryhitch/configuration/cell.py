"""The cell's replicated configuration, its history and idempotency keys."""

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
_MAX_HISTORY_CHARACTERS = 8 * 1024 * 1024
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
        """Initialises the state with no configuration."""
        self._history: list[ConfigurationView] = []
        self._keys: OrderedDict[str, int] = OrderedDict()

    @property
    def version(self) -> int:
        """The current version; zero before the first."""
        return self._history[-1].version if self._history else 0

    @property
    def newest(self) -> ConfigurationView | None:
        """The current configuration; None before the first."""
        return self._history[-1] if self._history else None

    def view(self, version: int) -> ConfigurationView:
        """Returns one version of the configuration.

        Args:
            version: The version; zero selects the newest.

        Raises:
            NotFoundError: The version never existed or is no longer kept.
        """
        for view in reversed(self._history):
            if version in {0, view.version}:
                return view
        raise NotFoundError(
            f'configuration version {version} is not kept', where=str(version)
        )

    def apply(self, entry: LogEntry) -> Any:
        """Applies a committed change and returns its version.

        Raises:
            VersionConflictError: The expected version is not the current one.
        """
        change: ChangeConfiguration = decode(entry.kind, entry.body)
        if change.key and change.key in self._keys:
            return ConfigurationChanged(self._keys[change.key])
        if change.expected_version != self.version:
            raise VersionConflictError(
                f'the current version is {self.version}, '
                f'not {change.expected_version}',
                where=str(self.version),
            )
        view = ConfigurationView(
            self.version + 1, change.document, change.author, change.at
        )
        self._history = _kept_views([*self._history, view])
        if change.key:
            self._keys[change.key] = view.version
        while len(self._keys) > _MAX_KEYS:
            self._keys.popitem(last=False)
        return ConfigurationChanged(view.version)

    def snapshot(self) -> bytes:
        """Returns the whole state as JSON."""
        keys = [_IdempotencyKey(*pair) for pair in self._keys.items()]
        return encode(_Snapshot(self._history, keys))

    def restore(self, state: bytes) -> None:
        """Replaces the whole state by a snapshot.

        Raises:
            InvariantError: The snapshot is older than the current state.
        """
        snapshot = decode_as(_Snapshot, state)
        version = snapshot.history[-1].version if snapshot.history else 0
        if version < self.version:
            raise InvariantError(
                f'snapshot version {version} is older than the current version '
                f'{self.version}'
            )
        self._history = _kept_views(snapshot.history)
        self._keys = OrderedDict(
            (entry.key, entry.version) for entry in snapshot.keys
        )


def _kept_views(history: list[ConfigurationView]) -> list[ConfigurationView]:
    """Returns the newest view, and those before it within the limits."""
    kept = history[-1:]
    characters = sum(len(view.document) for view in kept)
    for view in reversed(history[-_MAX_VERSIONS:-1]):
        characters += len(view.document)
        if characters > _MAX_HISTORY_CHARACTERS:
            break
        kept.append(view)
    return sorted(kept, key=lambda view: view.version)
