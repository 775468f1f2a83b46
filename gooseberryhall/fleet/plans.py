"""Input and output of the planner."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from .models import EngineProfile, Group, Model

MIN_SHARE: Final = 0.01
# Domain of a group whose members are in several domains.
SEVERAL_DOMAINS: Final = ""
# Duration of a join if the last group of the server had the same model.
REJOIN_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class ServerFacts:
    """Properties of a server that matter for planning."""

    server_id: str
    domain: str
    # Model of the server's last group since its start.
    last_model: str | None
    staged: frozenset[str]
    # Model that the server is loading as a spare.
    preparing: str | None = None

    def join_s(self, model: Model) -> float:
        """Return the expected duration of a join to a group of the model."""
        if self.last_model == model.name:
            return REJOIN_S
        if model.name in self.staged:
            return model.warmup_s
        return model.load_s


@dataclass(frozen=True, slots=True)
class ZoneFacts:
    """State of one zone that the planner works on."""

    zone: str
    profile: EngineProfile
    # Servers that are in no group that serves or forms.
    free: Sequence[ServerFacts]
    # Groups of the zone that serve or form, with their domain.
    groups: Sequence[tuple[Group, str]]
    # Number of groups that serve in other zones, by zone and model.
    other_zone_groups: Mapping[str, Mapping[str, int]]
    # Whether callers' requests have begun; loads are short before that.
    traffic_seen: bool
    # Servers that are in the zone's groups.
    members: Sequence[ServerFacts] = ()
    # Domains with a group that dissolves, or may have to, so that more servers become
    # free soon.
    dissolving_domains: frozenset[str] = frozenset()
    # Number of loads that may start now; None before traffic begins or for no limit.
    load_slots: int | None = None


@dataclass(frozen=True, slots=True)
class GroupPlan:
    """A group to form; the first member becomes its leader."""

    model: str
    members: tuple[str, ...]
    join_s: float


@dataclass(frozen=True, slots=True)
class SparePlan:
    """A model to load on a server in advance, so that a later join needs no load."""

    server_id: str
    model: str


@dataclass(slots=True)
class ZonePlan:
    """Changes to start now."""

    groups: list[GroupPlan] = field(default_factory=list)
    # Groups to dissolve because another model needs their servers more.
    dissolved: list[Group] = field(default_factory=list)
    spares: list[SparePlan] = field(default_factory=list)


def model_weight(model: Model) -> float:
    """Return the size of a group divided by the model's share of all servers."""
    return model.size / max(model.share, MIN_SHARE)
