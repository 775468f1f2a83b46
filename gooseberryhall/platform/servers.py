"""Decoders of server records in the store and of direct reports."""

import re
from dataclasses import dataclass
from typing import Annotated, Final, Literal

import msgspec

from ..fleet.models import BackendServer, Membership, MemberState
from ..transport.address import parse_address
from .decoding import decode_json
from .exceptions import RowFormatError

# Larger numbers are not exact in all JSON decoders, and none of the fields needs them.
_MAX_INTEGER: Final = 2**53 - 1
_Natural = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]
# Ids are sent as the value of a header.
_SERVER_ID_PATTERN: Final = re.compile(r"[!-~]{1,200}")
# Longer cold times are taken for this one.
MAX_COLD_MS: Final = 600_000.0
_MS_PER_S: Final = 1000


class _Model(msgspec.Struct):
    name: str


class _Group(msgspec.Struct):
    name: str
    epoch: _Natural
    rank: _Natural
    state: Literal["joining", "ready", "open", "closing", "broken"]


class _ServerState(msgspec.Struct):
    # Unix time in milliseconds at which this incarnation of the server started.
    born: _Natural = 0
    models: list[_Model] = []
    # Models whose weights are on the host.
    staged: list[str] = []
    group: _Group | None = None


class _ServerRecord(_ServerState, kw_only=True):
    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    slots: _Natural
    # Number of the heartbeat. The field of this name in reports counts orders.
    sequence: _Natural
    # Version of the server's software.
    version: str = ""
    # Time for which the server is slow after its start.
    cold_remaining_ms: float = 0.0
    # Fabric domain of the server's host.
    domain: str | _Natural = ""


class _Report(_ServerState):
    # Slowdown factor; above 1 the server is slower than its profile.
    pace: float = 1.0


@dataclass(frozen=True, slots=True)
class ServerReport:
    """State that a server returned when it was queried directly."""

    started_at_ms: int
    membership: Membership | None
    staged: frozenset[str]
    last_model: str | None
    slowdown: float


def decode_server_record(
    server_id: str, data: bytes, now_s: float = 0.0
) -> BackendServer:
    """Decode a server record that arrived at `now_s`. Raises `RowFormatError`."""
    if not _SERVER_ID_PATTERN.fullmatch(server_id):
        raise RowFormatError(f"not the id of a server: {server_id!r}")
    raw = decode_json(data, _ServerRecord, f"server {server_id}")
    try:
        address = parse_address(raw.address)
    except ValueError as exc:
        raise RowFormatError(f"server {server_id}: {exc}") from exc
    return BackendServer(
        server_id=server_id,
        service=raw.service,
        address=address,
        zone=raw.zone,
        leaving=raw.state == "draining",
        slots=raw.slots,
        started_at_ms=raw.born,
        domain=str(raw.domain),
        staged=frozenset(raw.staged),
        last_model=raw.models[0].name if raw.models else None,
        membership=_decode_membership(raw.group),
        heartbeat=raw.sequence,
        cold_remaining_s=min(max(0.0, raw.cold_remaining_ms), MAX_COLD_MS) / _MS_PER_S,
        arrived_s=now_s,
    )


def decode_report(data: bytes) -> ServerReport:
    """Decode a direct report. Raises `RowFormatError`."""
    raw = decode_json(data, _Report, "report")
    return ServerReport(
        started_at_ms=raw.born,
        membership=_decode_membership(raw.group),
        staged=frozenset(raw.staged),
        last_model=raw.models[0].name if raw.models else None,
        slowdown=raw.pace,
    )


def _decode_membership(raw: _Group | None) -> Membership | None:
    if raw is None:
        return None
    return Membership(raw.name, raw.epoch, raw.rank, MemberState(raw.state))
