"""Events of the membership package."""

from dataclasses import dataclass

from ..core.events import Event
from .models import Evidence, Node


@dataclass(frozen=True, slots=True)
class HeartbeatReceived(Event):
    """A heartbeat of the control process of another node arrived."""

    node: Node


@dataclass(frozen=True, slots=True)
class PeerLinkOpened(Event):
    """A link to the control process of another node opened."""

    node: str


@dataclass(frozen=True, slots=True)
class PeerLinkClosed(Event):
    """The last link to the control process of another node closed."""

    node: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class LiveNodesListed(Event):
    """The control process sent the list of live entry VMs."""

    nodes: tuple[Node, ...]


@dataclass(frozen=True, slots=True)
class PeerCheckDue(Event):
    """It is time to remove peers without a recent heartbeat."""


@dataclass(frozen=True, slots=True)
class EvidenceReceived(Event):
    """Probe results of this process or dated reports of another one are available."""

    evidence: tuple[Evidence, ...]
