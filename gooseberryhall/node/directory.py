"""What the node program needs of a platform's store."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from ..fleet.models import BackendServer, Configuration
from ..fleet.orders import Engines, LeaseStore
from ..gateway.header_names import HeaderNames
from ..transport.pool import Address


@dataclass(frozen=True, slots=True)
class ConfigurationListener:
    """Takes what the store says of the configuration."""

    on_configuration: Callable[[Configuration], None]
    # Takes after each question whether the store answered.
    on_store: Callable[[bool], None]
    # Time that a question for changes waits; a connection that went silent is not
    # noticed before.
    wait_s: Callable[[], float]
    # Longest pause between two questions that the store does not answer.
    retry_limit_s: Callable[[], float]


@dataclass(frozen=True, slots=True)
class ServerListener:
    """Takes what the store says of servers."""

    # All entries; the flag tells that the store was away before.
    on_snapshot: Callable[[Iterable[BackendServer], bool], None]
    on_record: Callable[[BackendServer], None]
    on_removed: Callable[[list[str]], None]
    # Takes after each question whether the store answered. If not, entries may be
    # outdated until the next snapshot.
    on_store: Callable[[bool], None]
    # Waits until entries are wanted; returns whether it had to wait, after which
    # all entries are read again.
    async_wait_wanted: Callable[[], Awaitable[bool]]
    # Time between two questions for changes.
    pause_s: Callable[[], float]
    # Longest pause between two questions that the store does not answer.
    retry_limit_s: Callable[[], float]


class Directory(Protocol):
    """Configuration, servers and nodes as the store lists them."""

    async def async_follow_configuration(self, listener: ConfigurationListener) -> None:
        """Pass on each new version until cancelled."""

    async def async_read_configuration(self) -> Configuration | None:
        """Return the newest version. Raises `UnavailableError`."""

    async def async_follow_servers(self, listener: ServerListener) -> None:
        """Pass on entries of servers until cancelled."""

    async def async_register(self, node: str, address: Address) -> None:
        """Store this node's address. Raises `UnavailableError`."""

    async def async_nodes(self) -> dict[str, Address]:
        """Return the addresses of all nodes. Raises `UnavailableError`."""


@dataclass(frozen=True, slots=True)
class PlatformParts:
    """Everything that translates between the node program and a platform."""

    wire: HeaderNames
    directory: Directory
    leases: LeaseStore
    engines: Engines
