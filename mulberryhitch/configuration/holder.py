"""The configuration in force in one process: versions go up, never down."""

from collections.abc import Callable

from mulberryhitch.configuration.models import CellConfiguration, CellDocument
from mulberryhitch.configuration.overlays import parse_json, validate
from mulberryhitch.errors import InvariantError


class ConfigurationHolder:
    """Holds the newest configuration that this process has heard of.

    Args:
        data_centre: Whose overlay counts here.
    """

    def __init__(self, data_centre: str) -> None:
        """Starts with nothing in force."""
        self._data_centre = data_centre
        self._version = 0
        self._document = ''
        self._current = CellConfiguration()
        self._listeners: list[Callable[[CellConfiguration], None]] = []

    @property
    def version(self) -> int:
        """The version in force; zero before the first."""
        return self._version

    @property
    def document(self) -> str:
        """The document in force, as its operator sent it."""
        return self._document

    @property
    def current(self) -> CellConfiguration:
        """What is in force in this data centre."""
        return self._current

    def add_listener(
        self, listener: Callable[[CellConfiguration], None]
    ) -> None:
        """Calls the listener with each configuration put in force."""
        self._listeners.append(listener)

    def apply_if_newer(self, version: int, document: str) -> bool:
        """Puts a configuration in force if it is newer.

        Raises:
            InvariantError: Another document has the version in force.
        """
        if version == self._version and document != self._document:
            raise InvariantError(f'two documents of version {version}')
        if version <= self._version:
            return False
        checked = validate(
            CellDocument,
            parse_json(document, 'configuration'),
            'configuration: ',
        )
        self._current = checked.effective(self._data_centre)
        self._version = version
        self._document = document
        for listener in self._listeners:
            listener(self._current)
        return True
