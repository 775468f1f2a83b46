"""Events of the membership concern."""

from dataclasses import dataclass

from ..core.events import Event
from .models import Evidence, Node


@dataclass(frozen=True, slots=True)
class HeartbeatReceived(Event):
    """A control process of another node is alive."""

    node: Node


@dataclass(frozen=True, slots=True)
class PeerLinkOpened(Event):
    """A link to the control process of another node opened."""

    node: str


@dataclass(frozen=True, slots=True)
class PeerLinkClosed(Event):
    """The last link to a control process closed."""

    node: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class LiveNodesListed(Event):
    """The control process listed the other entry VMs that are alive."""

    nodes: tuple[Node, ...]


@dataclass(frozen=True, slots=True)
class PeersChecked(Event):
    """Peers without a recent heartbeat are to be removed."""


@dataclass(frozen=True, slots=True)
class EvidenceReceived(Event):
    """Probe results of this process, or dated reports of another one."""

    evidence: tuple[Evidence, ...]
