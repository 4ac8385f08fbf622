"""Validation of addresses: IP addresses with ports, not host names."""

import ipaddress

from mulberryhitch.errors import InvalidInputError


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
    if not port.isdigit():
        raise InvalidInputError(
            f'"{port}" is not a port number', where='address'
        )
    return address
