"""What the planner knows of a zone, and what it decides."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from .models import EngineProfile, Group, Model

MIN_SHARE: Final = 0.01
# Domain of a group whose members are in several domains.
SEVERAL_DOMAINS: Final = ""
# Time of a join if the server's last group had the same model.
REJOIN_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class FreeServer:
    """A server that is in no serving or forming group."""

    server_id: str
    domain: str
    # Model of its last group since its start.
    last_model: str | None
    staged: frozenset[str]
    # Model that it loads now as a spare.
    preparing: str | None = None

    def join_s(self, model: Model) -> float:
        """Return how long a join for the model takes."""
        if self.last_model == model.name:
            return REJOIN_S
        if model.name in self.staged:
            return model.warmup_s
        return model.load_s


@dataclass(frozen=True, slots=True)
class ZoneFacts:
    """What the planner knows of one zone."""

    zone: str
    profile: EngineProfile
    free: Sequence[FreeServer]
    # Groups of the zone that serve or are being formed, with their domain.
    groups: Sequence[tuple[Group, str]]
    # Groups of other zones that serve, by zone and model.
    elsewhere: Mapping[str, Mapping[str, int]]
    # Whether callers' requests have begun; before, loads are short.
    traffic_seen: bool
    # Servers of the zone's groups.
    members: Sequence[FreeServer] = ()
    # Domains where a group is being dissolved, so that more servers are free soon.
    unsettled: frozenset[str] = frozenset()
    # Loads that may start now; None before traffic begins or for no limit.
    load_slots: int | None = None


@dataclass(frozen=True, slots=True)
class GroupPlan:
    """A group to form; the first member becomes its head."""

    model: str
    members: tuple[str, ...]
    join_s: float


@dataclass(frozen=True, slots=True)
class SparePlan:
    """A free server that loads a model, so that it can join later at once."""

    server_id: str
    model: str


@dataclass(slots=True)
class ZonePlan:
    """Orders to carry out now."""

    groups: list[GroupPlan] = field(default_factory=list)
    # Groups to dissolve because another model needs their servers more.
    dissolved: list[Group] = field(default_factory=list)
    spares: list[SparePlan] = field(default_factory=list)


def model_weight(model: Model) -> float:
    """Return the servers of a group over the model's share of all servers."""
    return model.size / max(model.share, MIN_SHARE)
