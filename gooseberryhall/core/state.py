"""State of a process, with one slice for each package."""

from dataclasses import dataclass, field

from ..config.state import ConfigState
from ..groups.state import GroupsState
from ..limits.state import LimitsState
from ..membership.state import MembershipState
from ..requests.state import RequestsState
from ..routing.state import RoutingState


@dataclass(frozen=True, slots=True)
class Identity:
    """Node name, availability zone and region of this process."""

    node: str
    zone: str
    region: str


@dataclass(slots=True)
class State:
    """All state that the reducer may change."""

    identity: Identity
    config: ConfigState = field(default_factory=ConfigState)
    membership: MembershipState = field(default_factory=MembershipState)
    groups: GroupsState = field(default_factory=GroupsState)
    routing: RoutingState = field(default_factory=RoutingState)
    limits: LimitsState = field(default_factory=LimitsState)
    requests: RequestsState = field(default_factory=RequestsState)
