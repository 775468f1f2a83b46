"""Messages between the processes of the system.

Every message is a CBOR map with the field `type`. `MESSAGE_ADAPTER` validates a decoded
map; unknown types and fields are refused.
"""

from typing import Annotated, Any, Literal, NamedTuple

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter

from ..config.models import AnyObject
from ..config.operations import Change
from ..groups.models import Group
from ..membership.models import MemberHealth, Node


class MessagePart(BaseModel):
    """Base of all messages and their parts; unknown fields are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Message(MessagePart):
    """Base of all messages."""

    type: str


class Ping(Message):
    """Carries a number that later digests echo."""

    type: Literal["ping"] = "ping"
    n: int


class MemberReport(MessagePart):
    """A member's health and its age in milliseconds when the message was sent.

    `health` is None if the member did not respond. Later digests on the same link refer
    to the report by `ref`.
    """

    ref: int
    vm: str
    health: MemberHealth | None = None
    age_ms: Annotated[int, Field(ge=0)]


class RepeatedReport(NamedTuple):
    """A report that differs from the last one with this `ref` only in age and load."""

    ref: int
    age_ms: Annotated[int, Field(ge=0)]
    active: int = 0
    queued: int = 0


class EvidenceDigest(Message):
    """Evidence about members.

    `echo` is the number of the last ping received on this link, 0 for none. The
    receiver dates each report by the time at which it sent that ping, minus the age.
    """

    type: Literal["evidence"] = "evidence"
    echo: int
    reports: tuple[MemberReport, ...] = ()
    repeats: tuple[RepeatedReport, ...] = ()


class Heartbeat(Message):
    """Announces that a node is alive, with the nodes that it knows.

    `seq` is also the number of a ping. `node` and `known` are set in the first
    heartbeat of a link and when they changed. The evidence is part of the heartbeat,
    because one frame costs less processor time than separate frames.
    """

    type: Literal["heartbeat"] = "heartbeat"
    node: Node | None = None
    seq: int
    config_revision: int
    known: tuple[Node, ...] = ()
    evidence: EvidenceDigest | None = None


class GroupView(Message):
    """All groups of a zone as read at a table revision."""

    type: Literal["groups"] = "groups"
    zone: str
    revision: int
    groups: tuple[Group, ...]


class ConfigChanges(Message):
    """Accepted edits, in the order of their revisions."""

    type: Literal["config_changes"] = "config_changes"
    changes: tuple[Change, ...]


class ConfigSnapshot(Message):
    """The whole configuration at a revision, in parts that fit into frames."""

    type: Literal["config_snapshot"] = "config_snapshot"
    revision: int
    objects: tuple[AnyObject, ...]
    part: Annotated[int, Field(ge=1)] = 1
    parts: Annotated[int, Field(ge=1)] = 1


class ConfigRequest(Message):
    """Requests the configuration after a revision."""

    type: Literal["config_request"] = "config_request"
    after: int


class SuspectReport(Message):
    """Reports a request that was in flight when a member crashed."""

    type: Literal["suspect"] = "suspect"
    fingerprint: str
    vm: str
    boot_id: str
    age_s: float


class MemberFailure(Message):
    """Reports a member that could not be reached or that broke a stream."""

    type: Literal["member_failure"] = "member_failure"
    vm: str
    boot_id: str
    group: str
    generation: int
    reason: str


class LiveNodes(Message):
    """Lists the other live entry VMs, for the entry program of this VM."""

    type: Literal["live_nodes"] = "live_nodes"
    nodes: tuple[Node, ...]


AnyMessage = Annotated[
    Ping
    | Heartbeat
    | EvidenceDigest
    | GroupView
    | ConfigChanges
    | ConfigSnapshot
    | ConfigRequest
    | SuspectReport
    | MemberFailure
    | LiveNodes,
    Field(discriminator="type"),
]

MESSAGE_ADAPTER: TypeAdapter[Any] = TypeAdapter(AnyMessage)
