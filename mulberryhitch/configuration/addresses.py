"""Addresses that connections are opened to: an IP address and a port."""

import ipaddress
import re
from dataclasses import dataclass

from mulberryhitch.errors import InvalidInputError

_MAX_PORT = 65_535
_PORT_DIGITS = re.compile('[0-9]{1,5}')
_BRACKETED_HOST = re.compile(r'\[([0-9A-Fa-f:.]+)\]')


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """An IP address, without brackets, and a port."""

    host: str
    port: int

    @property
    def authority(self) -> str:
        """Host and port as in a URL, with brackets around IPv6."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


def parse_address(address: str) -> SocketAddress:
    """Parses an IP address with a port; IPv6 may be in brackets.

    Raises:
        InvalidInputError: The host or the port is invalid, or the host is not
            the address of one machine.
    """
    host, _, port = address.rpartition(':')
    is_number = _PORT_DIGITS.fullmatch(port) is not None
    if not is_number or not 0 < int(port) <= _MAX_PORT:
        raise InvalidInputError(
            f'"{port}" is not a port number', where='address'
        )
    return SocketAddress(_parse_host(host), int(port))


def check_address(address: str) -> str:
    """Returns an address unchanged if it can be parsed.

    Raises:
        InvalidInputError: See :func:`parse_address`.
    """
    parse_address(address)
    return address


def _parse_host(text: str) -> str:
    bracketed = _BRACKETED_HOST.fullmatch(text)
    host = bracketed[1] if bracketed else text
    try:
        ip_address = ipaddress.ip_address(host)
    except ValueError as error:
        raise InvalidInputError(
            f'"{text}" is not an IP address', where='address'
        ) from error
    # A scope names a network interface of the sender's machine.
    if '%' in host or ip_address.is_unspecified or ip_address.is_multicast:
        raise InvalidInputError(
            f'"{text}" is not the address of one machine', where='address'
        )
    return host
