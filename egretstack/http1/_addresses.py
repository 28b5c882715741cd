"""Addresses to which connections can be opened."""

import ipaddress
from functools import lru_cache

_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5
_MAX_LENGTH = len("255.255.255.255:65535")
_CACHED_ADDRESSES = 1_024
"""Each report and each update names the same addresses again."""


def is_address(value: str) -> bool:
    """Return whether a text is IP:PORT with an IPv4 address that can be assigned to a host."""
    return len(value) <= _MAX_LENGTH and _is_address(value)


@lru_cache(maxsize=_CACHED_ADDRESSES)
def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    if address.is_unspecified or address.is_multicast or address.is_reserved:
        return False
    if len(port) > _MAX_PORT_DIGITS or not port.isascii() or not port.isdigit():
        return False
    return 0 < int(port) <= _MAX_PORT
