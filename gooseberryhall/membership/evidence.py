"""Decides by the evidence about its members whether a group may serve."""

from collections.abc import Mapping
from enum import StrEnum

from ..const import EVIDENCE_MAX_AGE_S
from ..groups.models import Group, GroupPhase, Member
from .models import Evidence, MemberState


class ClosedReason(StrEnum):
    """Reason why a group accepts no new requests."""

    PHASE = "phase"
    NO_EVIDENCE = "no_evidence"
    STALE = "stale"
    NOT_ANSWERING = "not_answering"
    RESTARTED = "restarted"
    OTHER_GROUP = "other_group"
    NOT_SERVING = "not_serving"
    LEAVING = "leaving"


def member_closed_reason(
    group: Group, member: Member, evidence: Evidence | None, now_s: float
) -> ClosedReason | None:
    """Return why a member prevents its group from serving, or None."""
    if evidence is None:
        return ClosedReason.NO_EVIDENCE
    if evidence.health is None:
        return ClosedReason.NOT_ANSWERING
    if now_s - evidence.observed_at_s > EVIDENCE_MAX_AGE_S:
        return ClosedReason.STALE
    health = evidence.health
    if health.boot_id != member.boot_id:
        return ClosedReason.RESTARTED
    if (health.group, health.generation) != (group.group, group.generation):
        return ClosedReason.OTHER_GROUP
    if health.state is not MemberState.SERVING:
        return ClosedReason.NOT_SERVING
    if health.leaving:
        return ClosedReason.LEAVING
    return None


def group_closed_reason(
    group: Group, evidence: Mapping[str, Evidence], now_s: float
) -> ClosedReason | None:
    """Return why a group may not accept new requests, or None when it may."""
    if group.phase is not GroupPhase.SERVING:
        return ClosedReason.PHASE
    for member in group.members:
        reason = member_closed_reason(group, member, evidence.get(member.vm), now_s)
        if reason is not None:
            return reason
    return None
