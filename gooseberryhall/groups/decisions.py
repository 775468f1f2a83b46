"""What the planner decides, as data."""

from dataclasses import dataclass
from enum import StrEnum

from .models import Member


class Reason(StrEnum):
    """Why a group is drained or released."""

    MEMBER_RESTARTED = "member_restarted"
    MEMBER_FAILED = "member_failed"
    MEMBER_LOST = "member_lost"
    MEMBER_LEAVING = "member_leaving"
    DRAIN_LABEL = "drain_label"
    SPEC_REMOVED = "spec_removed"
    SELECTOR_CHANGED = "selector_changed"
    NEW_VERSION = "new_version"
    SURPLUS = "surplus"
    PREEMPTED = "preempted"
    DRAINED = "drained"
    DRAIN_LIMIT = "drain_limit"
    LOADING_LIMIT = "loading_limit"


@dataclass(frozen=True, slots=True)
class Decision:
    """Base of all decisions; `group` is the group's name."""

    group: str


@dataclass(frozen=True, slots=True)
class FormGroup(Decision):
    """Assign VMs to a new group and order it to load."""

    spec: str
    fabric_domain: str
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class MarkServing(Decision):
    """All members were read back with the ordered generation."""


@dataclass(frozen=True, slots=True)
class DrainGroup(Decision):
    """Give the group no new work."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class ReleaseGroup(Decision):
    """Order the members to leave the group."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class FreeMembers(Decision):
    """Members were read back as idle and may be assigned again."""

    vms: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WaitForMember(Decision):
    """Keep a group whose member stopped answering, until `until_s`."""

    vm: str
    until_s: float


@dataclass(frozen=True, slots=True)
class SendGroupOrder(Decision):
    """Send the group's current order to a member, for the first time or again."""

    vm: str


@dataclass(frozen=True, slots=True)
class LoadAdapters(Decision):
    """Order a member of a serving group to load other adapters."""

    vm: str
    adapters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MarkAdapters(Decision):
    """All members accepted the order to load these adapters."""

    adapters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReleaseOrphan(Decision):
    """Order a VM that is assigned to no group to leave the group it reports."""

    vm: str
    generation: int
