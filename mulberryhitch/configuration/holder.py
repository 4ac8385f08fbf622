"""The active configuration of a process; its version never decreases."""

from collections.abc import Callable

from mulberryhitch.configuration.models import CellConfiguration, CellDocument
from mulberryhitch.configuration.overlays import parse_json, validate
from mulberryhitch.errors import InvariantError


class ConfigurationHolder:
    """Holds the newest configuration that this process has received.

    Args:
        data_centre: Selects the overlay to apply.
    """

    def __init__(self, data_centre: str) -> None:
        """Initialises the holder with the default configuration."""
        self._data_centre = data_centre
        self._version = 0
        self._document = ''
        self._current = CellConfiguration()
        self._listeners: list[Callable[[CellConfiguration], None]] = []

    @property
    def version(self) -> int:
        """The active version; zero before the first."""
        return self._version

    @property
    def document(self) -> str:
        """The active document, as its operator sent it."""
        return self._document

    @property
    def current(self) -> CellConfiguration:
        """The active configuration of this data centre."""
        return self._current

    def add_listener(
        self, listener: Callable[[CellConfiguration], None]
    ) -> None:
        """Registers a listener, called with each activated configuration."""
        self._listeners.append(listener)

    def apply_if_newer(self, version: int, document: str) -> bool:
        """Activates a configuration if it is newer; returns whether it was.

        Raises:
            InvariantError: The active version has another document.
            InvalidInputError: The document is invalid.
        """
        if version == self._version and document != self._document:
            raise InvariantError(
                f'two different documents have version {version}'
            )
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
