"""Validation of addresses: IP addresses with ports, not host names."""

import ipaddress
import re

from mulberryhitch.errors import InvalidInputError

_MAX_PORT = 65_535
_PORT_DIGITS = re.compile('[0-9]{1,5}')


def check_address(address: str) -> str:
    """Returns an address if it is an IP address with a port.

    Raises:
        InvalidInputError: The host or the port is invalid.
    """
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError as error:
        raise InvalidInputError(
            f'"{host}" is not an IP address', where='address'
        ) from error
    is_number = _PORT_DIGITS.fullmatch(port) is not None
    if not is_number or not 0 < int(port) <= _MAX_PORT:
        raise InvalidInputError(
            f'"{port}" is not a port number', where='address'
        )
    return address
