"""TLS contexts that are reloaded when their files change."""

import ssl
from pathlib import Path

from mulberryhitch.configuration.settings import TlsSettings
from mulberryhitch.errors import InvalidSettingsError


class TlsContexts:
    """Contexts for mutual TLS, reloaded when a file's mtime changes.

    If reloading fails, the previous contexts stay in use.

    Args:
        settings: Paths of the files; None for plain TCP.
    """

    def __init__(self, settings: TlsSettings | None) -> None:
        """Initialises without contexts; the first use loads the files."""
        self._settings = settings
        self._loaded_mtimes: tuple[int, ...] = ()
        self._server: ssl.SSLContext | None = None
        self._client: ssl.SSLContext | None = None

    def server(self) -> ssl.SSLContext | None:
        """Returns the context for accepting members' connections.

        Raises:
            InvalidSettingsError: The first load of the files failed.
        """
        self._reload_if_changed()
        return self._server

    def client(self) -> ssl.SSLContext | None:
        """Returns the context for connecting to members.

        Raises:
            InvalidSettingsError: The first load of the files failed.
        """
        self._reload_if_changed()
        return self._client

    def _reload_if_changed(self) -> None:
        if self._settings is None:
            return
        paths = (
            self._settings.certificate,
            self._settings.key,
            self._settings.authority,
        )
        try:
            mtimes = tuple(Path(path).stat().st_mtime_ns for path in paths)
            if mtimes != self._loaded_mtimes:
                self._server = self._make_context(self._settings, server=True)
                self._client = self._make_context(self._settings, server=False)
                self._loaded_mtimes = mtimes
        except (OSError, ssl.SSLError) as error:
            if self._server is None:
                raise InvalidSettingsError(str(error), where='tls') from error

    def _make_context(
        self, settings: TlsSettings, *, server: bool
    ) -> ssl.SSLContext:
        context = ssl.SSLContext(
            ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT
        )
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.load_cert_chain(settings.certificate, settings.key)
        context.load_verify_locations(settings.authority)
        context.verify_mode = ssl.CERT_REQUIRED
        return context
