"""Decisions of the planner."""

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
    """Base class of decisions; `group` is the name of the group."""

    group: str


@dataclass(frozen=True, slots=True)
class FormGroup(Decision):
    """Assign VMs to a new group and order it to load."""

    spec: str
    fabric_domain: str
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class MarkServing(Decision):
    """Mark a group as serving after all members reported the ordered generation."""


@dataclass(frozen=True, slots=True)
class DrainGroup(Decision):
    """Send no new requests to the group."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class ReleaseGroup(Decision):
    """Order the members to leave the group."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class FreeMembers(Decision):
    """Remove members that reported to be idle, so that they may be assigned again."""

    vms: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WaitForMember(Decision):
    """Keep a group with an unresponsive member until `until_s`."""

    vm: str
    until_s: float


@dataclass(frozen=True, slots=True)
class SendGroupOrder(Decision):
    """Send or resend the group's current order to a member."""

    vm: str


@dataclass(frozen=True, slots=True)
class LoadAdapters(Decision):
    """Order a member of a serving group to load other adapters."""

    vm: str
    adapters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MarkAdaptersLoaded(Decision):
    """Record the adapters that all members accepted to load."""

    adapters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReleaseOrphan(Decision):
    """Order an unassigned VM to leave the group that it reports."""

    vm: str
    generation: int
