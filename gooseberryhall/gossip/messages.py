"""Content of a datagram."""

import io
from dataclasses import dataclass, field
from typing import Any

import cbor2

from ..exceptions import InvalidInputError
from ..fleet.models import Group


class GossipError(InvalidInputError):
    """A datagram is not a gossip message."""


@dataclass(frozen=True, slots=True)
class OwnedZone:
    """The groups of a zone as its owner knows them."""

    zone: str
    term: int
    groups: tuple[Group, ...] = ()


@dataclass(frozen=True, slots=True)
class Gossip:
    """What a node tells its peers."""

    node: str
    zone: str
    # Random number drawn at the start of the process.
    incarnation: int
    sequence: int
    port: int
    traffic_seen: bool = False
    config_version: int = 0
    # Requests in flight by server.
    load: dict[str, int] = field(default_factory=dict)
    # Heads that this node found silent and has not seen answer since.
    suspects: tuple[str, ...] = ()
    owned: tuple[OwnedZone, ...] = ()
    # Servers lost by requests that may crash them, by fingerprint.
    crashes: dict[str, list[str]] = field(default_factory=dict)


def encode(gossip: Gossip) -> bytes:
    """Return the datagram."""
    return cbor2.dumps(
        [
            gossip.node,
            gossip.zone,
            gossip.incarnation,
            gossip.sequence,
            gossip.port,
            gossip.traffic_seen,
            gossip.config_version,
            gossip.load,
            list(gossip.suspects),
            [
                [
                    owned.zone,
                    owned.term,
                    [_encode_group(group) for group in owned.groups],
                ]
                for owned in gossip.owned
            ],
            gossip.crashes,
        ]
    )


def decode(data: bytes) -> Gossip:
    """Decode a datagram. Raises `GossipError`."""
    try:
        values: Any = cbor2.load(io.BytesIO(data))
        return Gossip(
            node=_text(values[0]),
            zone=_text(values[1]),
            incarnation=int(values[2]),
            sequence=int(values[3]),
            port=int(values[4]),
            traffic_seen=bool(values[5]),
            config_version=int(values[6]),
            load={_text(key): int(count) for key, count in values[7].items()},
            suspects=tuple(_text(value) for value in values[8]),
            owned=tuple(_decode_owned(value) for value in values[9]),
            crashes={
                _text(key): [_text(server) for server in servers]
                for key, servers in values[10].items()
            },
        )
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        IndexError,
        KeyError,
        AttributeError,
    ) as exc:
        raise GossipError(f"malformed datagram: {exc!r}") from exc


def _encode_group(group: Group) -> list[Any]:
    return [group.name, group.epoch, group.model, list(group.members)]


def _decode_owned(values: Any) -> OwnedZone:
    return OwnedZone(
        zone=_text(values[0]),
        term=int(values[1]),
        groups=tuple(
            Group(
                _text(group[0]),
                int(group[1]),
                _text(group[2]),
                tuple(_text(member) for member in group[3]),
            )
            for group in values[2]
        ),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"not a text: {value!r}")
    return value
