"""Addresses of servers, nodes and the store."""

from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Final

MAX_PORT: Final = 65_535


@dataclass(frozen=True, slots=True)
class Address:
    """An IPv4 address and TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`."""
        return f"{self.host}:{self.port}"


def create_address(host: str, port: int) -> Address:
    """Return an address to which a connection can be opened. Raises `ValueError`.

    Names are refused, because the platform resolves none.
    """
    ip_address = IPv4Address(host)
    if ip_address.is_unspecified or ip_address.is_multicast:
        raise ValueError(f"not the address of a host: {host!r}")
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"not a port: {port}")
    return Address(host, port)


def parse_address(text: str) -> Address:
    """Parse `host:port`. Raises `ValueError`."""
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit():
        raise ValueError(f"not an address: {text!r}")
    return create_address(host, int(port))
