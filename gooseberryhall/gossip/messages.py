"""Messages between nodes and their encoding as datagrams."""

import io
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

import cbor2

from ..exceptions import InvalidInputError
from ..fleet.evacuation import EvacuationUpdate
from ..fleet.models import BackendServer, ServedGroup
from ..gateway.models import CrashReport, ReportedCrash
from ..transport.address import MAX_PORT, create_address
from .cold import decode_cold, encode_cold
from .const import MS_PER_S


class GossipError(InvalidInputError):
    """A datagram is not a valid gossip message."""


@dataclass(frozen=True, slots=True)
class ServerTraffic:
    """Requests in flight at a server and the age of their last progress."""

    in_flight: int
    # Time since the server last sent something for a request; None if it did not.
    progress_age_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ZoneAnnouncement:
    """Groups, plain servers and traffic of a zone, as its owner announces them."""

    zone: str
    term: int
    groups: tuple[ServedGroup, ...] = ()
    # Servers of plain services.
    servers: tuple[BackendServer, ...] = ()
    # Traffic from all nodes, by server.
    traffic: dict[str, ServerTraffic] = field(default_factory=dict)
    # Live nodes of the zone that contend first, in this order, if the owner stops.
    successors: tuple[str, ...] = ()
    # Owners of other zones, so that a node that starts finds them.
    other_owners: tuple[str, ...] = ()
    # Whether the owner states which servers are cold.
    cold_known: bool = False


@dataclass(frozen=True, slots=True)
class Gossip:
    """State of a node that it sends to its peers in one datagram."""

    node: str
    zone: str
    # Random number that identifies one run of the process.
    incarnation: int
    sequence: int
    port: int
    traffic_seen: bool = False
    config_version: int = 0
    # Whether the store does not answer this node.
    store_lost: bool = False
    # Traffic of this node, by server.
    traffic: dict[str, ServerTraffic] = field(default_factory=dict)
    # Leaders of groups that this node recently found stalled.
    stalled_leaders: tuple[str, ...] = ()
    # Set if the node owns a zone; a datagram holds the announcement of one zone.
    announcement: ZoneAnnouncement | None = None
    # Requests that were in flight when servers crashed.
    crashes: tuple[CrashReport, ...] = ()
    # Traits of such requests that are harmless, and the seconds since the last
    # complete answer to a request with them.
    harmless: dict[str, int] = field(default_factory=dict)
    # Incarnation tags of servers that told this node that they leave.
    leaving: dict[str, int] = field(default_factory=dict)
    # Evacuations of zones; None if this node does not know which zones are evacuated.
    evacuations: dict[str, EvacuationUpdate] | None = None


@dataclass(slots=True)
class KnownServers:
    """Groups and servers of the last announcement of each zone.

    Announcements repeat them several times a second, and they seldom change.
    """

    _by_zone: dict[str, "_DecodedServers"] = field(default_factory=dict)

    def find(self, zone: str, values: list[Any]) -> "_DecodedServers | None":
        """Return what was decoded from the same values."""
        known = self._by_zone.get(zone)
        return known if known is not None and known.values == values else None

    def keep(self, zone: str, decoded: "_DecodedServers") -> None:
        """Replace what is known of a zone."""
        self._by_zone[zone] = decoded


class _DecodedServers(NamedTuple):
    """Groups and plain servers as they were sent, and decoded."""

    values: list[Any]
    groups: tuple[ServedGroup, ...]
    servers: tuple[BackendServer, ...]


def encode(gossip: Gossip) -> bytes:
    """Encode a message as a datagram."""
    return cbor2.dumps(
        [
            gossip.node,
            gossip.zone,
            gossip.incarnation,
            gossip.sequence,
            gossip.port,
            gossip.traffic_seen,
            gossip.config_version,
            gossip.store_lost,
            _encode_traffic(gossip.traffic),
            list(gossip.stalled_leaders),
            None
            if gossip.announcement is None
            else _encode_announcement(gossip.announcement),
            {
                item.fingerprint: [crash.server_id for crash in item.crashes]
                for item in gossip.crashes
            },
            {
                item.fingerprint: [item.parts, [crash.age_s for crash in item.crashes]]
                for item in gossip.crashes
            },
            gossip.harmless,
            gossip.leaving,
            _encode_evacuations(gossip.evacuations),
            {
                item.fingerprint: [crash.incarnation for crash in item.crashes]
                for item in gossip.crashes
            },
        ]
    )


def decode(
    data: bytes, now_s: float = 0.0, known: KnownServers | None = None
) -> Gossip:
    """Decode a datagram that arrived at `now_s`. Raises `GossipError`.

    `now_s` is of the clock that counts suspended time. Servers that `known` has are not
    decoded again.
    """
    try:
        values: Any = cbor2.load(io.BytesIO(data))
        return Gossip(
            node=_require_text(values[0]),
            zone=_require_text(values[1]),
            incarnation=int(values[2]),
            sequence=int(values[3]),
            port=_require_port(values[4]),
            traffic_seen=bool(values[5]),
            config_version=int(values[6]),
            store_lost=bool(values[7]),
            traffic=_decode_traffic(values[8]),
            stalled_leaders=tuple(_require_text(value) for value in values[9]),
            announcement=_decode_announcement(
                values[10], _require_text(values[1]), now_s, known or KnownServers()
            )
            if values[10] is not None
            else None,
            # Nodes of an earlier version do not send the fields after the servers.
            crashes=_decode_crashes(
                values[11],
                values[12] if values[12:] else {},
                values[16] if values[16:] else {},
            ),
            harmless={
                _require_text(trait): int(age_s)
                for fields in values[13:14]
                for trait, age_s in fields.items()
            },
            leaving={
                _require_text(server_id): int(tag)
                for fields in values[14:15]
                for server_id, tag in fields.items()
            },
            evacuations=_decode_evacuations(values[15] if values[15:] else None),
        )
    except (
        cbor2.CBORDecodeError,
        RecursionError,
        OverflowError,
        ValueError,
        TypeError,
        IndexError,
        KeyError,
        AttributeError,
    ) as exc:
        raise GossipError(f"malformed datagram: {exc!r}") from exc


def _encode_traffic(traffic: dict[str, ServerTraffic]) -> dict[str, list[int]]:
    return {
        server_id: [item.in_flight]
        if item.progress_age_ms is None
        else [item.in_flight, item.progress_age_ms]
        for server_id, item in traffic.items()
    }


def _decode_traffic(values: Any) -> dict[str, ServerTraffic]:
    return {
        _require_text(server_id): ServerTraffic(*(int(number) for number in numbers))
        for server_id, numbers in values.items()
    }


def _decode_crashes(servers: Any, details: Any, tags: Any) -> tuple[CrashReport, ...]:
    """Decode crash reports.

    The details of a request are its prompt parts and the age of each crash in seconds.
    `tags` are those of the incarnations that crashed.
    """
    reports = []
    for key, server_ids in servers.items():
        unknown = (0,) * len(server_ids)
        parts, ages_s = details.get(key, ((), unknown))
        reports.append(
            CrashReport(
                fingerprint=_require_text(key),
                parts=tuple(_require_text(part) for part in parts),
                crashes=tuple(
                    ReportedCrash(_require_text(server_id), int(age_s), int(tag))
                    for server_id, age_s, tag in zip(
                        server_ids, ages_s, tags.get(key, unknown), strict=True
                    )
                ),
            )
        )
    return tuple(reports)


def _encode_evacuations(
    evacuations: dict[str, EvacuationUpdate] | None,
) -> dict[str, list[Any]] | None:
    """Encode evacuations as version, whether it is active, age in ms, and era.

    Nodes of an earlier build read the first three and ignore the era.
    """
    if evacuations is None:
        return None
    return {
        zone: [
            update.version,
            update.active,
            int(update.age_s * MS_PER_S),
            *([] if update.era is None else [update.era]),
        ]
        for zone, update in evacuations.items()
    }


def _decode_evacuations(values: Any) -> dict[str, EvacuationUpdate] | None:
    if values is None:
        return None
    return {
        _require_text(zone): EvacuationUpdate(
            version=int(fields[0]),
            active=bool(fields[1]),
            age_s=max(0, int(fields[2])) / MS_PER_S if fields[2:] else 0.0,
            era=int(fields[3]) if fields[3:] else None,
        )
        for zone, fields in values.items()
    }


def _encode_announcement(announcement: ZoneAnnouncement) -> list[Any]:
    def encode_server(server: BackendServer) -> list[Any]:
        cold = encode_cold(server) if announcement.cold_known else []
        return [*_encode_server(server), *cold]

    return [
        announcement.zone,
        announcement.term,
        [
            [group.model, group.leaving, encode_server(group.leader)]
            for group in announcement.groups
        ],
        [encode_server(server) for server in announcement.servers],
        _encode_traffic(announcement.traffic),
        list(announcement.successors),
        list(announcement.other_owners),
        *([True] if announcement.cold_known else []),
    ]


def _decode_announcement(
    values: Any, owner_zone: str, now_s: float, known: KnownServers
) -> ZoneAnnouncement:
    zone = _require_text(values[0])
    cold_known = any(bool(value) for value in values[7:8])
    sent = list(values[2:4])
    # Cold times count from the arrival of their datagram.
    decoded = None if cold_known else known.find(zone, sent)
    if decoded is None:
        decoded = _decode_servers(sent, zone, owner_zone, now_s, cold_known=cold_known)
        if not cold_known:
            known.keep(zone, decoded)
    return ZoneAnnouncement(
        zone=zone,
        term=int(values[1]),
        groups=decoded.groups,
        servers=decoded.servers,
        traffic=_decode_traffic(values[4]),
        # Nodes of an earlier version do not send the next two fields.
        successors=_decode_names(values[5:6]),
        other_owners=_decode_names(values[6:7]),
        cold_known=cold_known,
    )


def _decode_servers(
    values: list[Any], zone: str, owner_zone: str, now_s: float, *, cold_known: bool
) -> _DecodedServers:
    """Decode the groups and the plain servers of an announcement."""

    def decode_server(server: Any) -> BackendServer:
        decoded = _decode_server(server, zone, now_s)
        if not cold_known:
            return decoded
        remaining_s, grant = decode_cold(server[7:], owner_zone, now_s)
        return replace(decoded, cold_remaining_s=remaining_s, cold_grant=grant)

    groups, servers = values
    return _DecodedServers(
        values,
        tuple(
            ServedGroup(
                _require_text(group[0]), decode_server(group[2]), bool(group[1])
            )
            for group in groups
        ),
        tuple(decode_server(server) for server in servers),
    )


def _decode_names(fields: list[Any]) -> tuple[str, ...]:
    return tuple(_require_text(name) for names in fields for name in names)


def _encode_server(server: BackendServer) -> list[Any]:
    address = server.address
    return [
        server.server_id,
        server.service,
        address.host,
        address.port,
        server.leaving,
        server.slots,
        server.incarnation_tag,
    ]


def _decode_server(values: Any, zone: str, now_s: float) -> BackendServer:
    return BackendServer(
        server_id=_require_text(values[0]),
        service=_require_text(values[1]),
        address=create_address(_require_text(values[2]), int(values[3])),
        zone=zone,
        leaving=bool(values[4]),
        slots=int(values[5]),
        # Nodes of an earlier version do not send the tag.
        started_at_ms=int(values[6]) if values[6:] else 0,
        arrived_s=now_s,
    )


def _require_port(value: Any) -> int:
    port = int(value)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"not a port: {port}")
    return port


def _require_text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"not a string: {value!r}")
    return value
