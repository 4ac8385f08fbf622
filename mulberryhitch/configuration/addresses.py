"""Addresses are IP numbers with ports; names are refused."""

import ipaddress

from mulberryhitch.errors import InvalidInputError


def check_address(address: str) -> str:
    """Checks that an address is an IP number and a port, and returns it.

    Raises:
        InvalidInputError: It is not.
    """
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError as error:
        raise InvalidInputError(
            f'"{host}" is no IP number', where='address'
        ) from error
    if not port.isdigit():
        raise InvalidInputError(f'"{port}" is no port', where='address')
    return address
