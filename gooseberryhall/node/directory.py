"""Interfaces between the node program and a platform."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from ..fleet.evacuation import EvacuationRows
from ..fleet.models import BackendServer, Configuration
from ..fleet.orders import EngineClient, LeaseStore
from ..fleet.statements import ServerStatement, ServerStatements
from ..gateway.header_names import HeaderNames
from ..transport.address import Address
from ..transport.exchange import ResponseHead


@dataclass(frozen=True, slots=True)
class ConfigurationListener:
    """Callbacks for a follower of the configuration."""

    on_configuration: Callable[[Configuration], None]
    # Called after each call to the store with whether it answered.
    on_store_state: Callable[[bool], None]
    # Time that a watch waits for a change; a stalled connection is noticed only then.
    wait_s: Callable[[], float]
    # Maximum delay between two calls that the store does not answer.
    max_retry_delay_s: Callable[[], float]
    # Called with the evacuations, before the configuration that was read with them.
    on_evacuations: Callable[[EvacuationRows], None] = lambda _: None
    # Called with the last era of the store and the new one when it came back from an
    # earlier copy: what this node wrote there may be gone.
    on_went_back: Callable[[int, int], None] = lambda *_: None


@dataclass(frozen=True, slots=True)
class ServerListener:
    """Callbacks for a follower of the server records."""

    # Called with all records and whether some may be missing for a moment, because the
    # store was unavailable before or came back from an earlier copy.
    on_snapshot: Callable[[Iterable[BackendServer], bool], None]
    on_record: Callable[[BackendServer], None]
    on_removed: Callable[[list[str]], None]
    # Called after each call to the store with whether it answered. If not, records may
    # be outdated until the next snapshot.
    on_store_state: Callable[[bool], None]
    # Waits until records are needed; returns whether it had to wait, after which all
    # records are read again.
    async_wait_needed: Callable[[], Awaitable[bool]]
    # Pause between two watches.
    pause_s: Callable[[], float]
    # Maximum delay between two calls that the store does not answer.
    max_retry_delay_s: Callable[[], float]


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """A node of the system as it registered itself in the store."""

    node: str
    # Zone of the node; empty if an earlier version registered it.
    zone: str
    # Address for datagrams.
    address: Address


class Directory(Protocol):
    """Access to the configuration, servers and nodes in the store."""

    async def async_follow_configuration(self, listener: ConfigurationListener) -> None:
        """Notify the listener of each new version until cancelled."""

    async def async_read_configuration(self) -> Configuration | None:
        """Return the newest version, or None. Raises `UnavailableError`."""

    async def async_follow_servers(self, listener: ServerListener) -> None:
        """Notify the listener of changes of server records until cancelled."""

    async def async_register(self, record: NodeRecord) -> None:
        """Store the record of this node. Raises `UnavailableError`."""

    async def async_list_nodes(self) -> list[NodeRecord]:
        """Return the records of all nodes. Raises `UnavailableError`."""


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Implementations of the interfaces to a platform."""

    header_names: HeaderNames
    directory: Directory
    leases: LeaseStore
    engines: EngineClient
    # What servers said in their answers, also to orders and queries of `engines`.
    statements: ServerStatements
    decode_statement: Callable[[ResponseHead], ServerStatement]
