"""Addresses to which connections can be opened."""

import ipaddress

_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 6


def is_address(value: str) -> bool:
    """Return whether a text is IP:PORT with an IPv4 address that can be assigned to a host."""
    host, _, port = value.rpartition(":")
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    if address.is_unspecified or address.is_multicast or address.is_reserved:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port[:_MAX_PORT_DIGITS]) <= _MAX_PORT
