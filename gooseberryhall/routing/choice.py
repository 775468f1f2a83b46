"""Chooses the group that serves a request."""

import zlib
from collections.abc import Collection
from dataclasses import dataclass

from ..config.models import GroupSpec, ObjectKind
from ..core.state import State
from ..groups.models import Group
from ..membership.evidence import group_closed_reason
from .const import AFFINITY_LOAD_FACTOR
from .load import estimated_load, last_start_s
from .models import Target
from .prefix import matched_blocks
from .stragglers import is_ejected


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a request asks of a group.

    `only` limits the choice to one group; groups in `avoid` are not chosen.
    """

    spec: str
    blocks: tuple[str, ...] = ()
    only: str | None = None
    avoid: Collection[str] = ()


@dataclass(frozen=True, slots=True)
class _Candidate:
    group: Group
    load: int


def open_groups(state: State, spec: str, now_s: float) -> list[Group]:
    """Return the groups of a spec that may take new requests."""
    evidence = state.membership.evidence
    return [
        group
        for group in state.groups.groups.values()
        if group.spec == spec and group_closed_reason(group, evidence, now_s) is None
    ]


def choose_group(state: State, wanted: Wanted, now_s: float) -> Target | None:
    """Return the best group with a free slot, or None."""
    spec = state.config.objects.get((ObjectKind.GROUP_SPEC, wanted.spec))
    if not isinstance(spec, GroupSpec):
        return None
    candidates = _candidates(state, spec, wanted, now_s)
    chosen = _prefer_cached(state, wanted, _nearest(state, candidates))
    return None if chosen is None else _target(chosen)


def _candidates(
    state: State, spec: GroupSpec, wanted: Wanted, now_s: float
) -> list[_Candidate]:
    groups = [
        group
        for group in open_groups(state, spec.name, now_s)
        if group.group not in wanted.avoid
        and (wanted.only is None or group.group == wanted.only)
    ]
    fast = [
        group for group in groups if not is_ejected(state.routing, group.group, now_s)
    ]
    # A slow group serves better than none: the others may be closed or avoided.
    evidence = state.membership.evidence
    loaded = [
        _Candidate(group, estimated_load(state.routing, group, evidence))
        for group in fast or groups
    ]
    return [item for item in loaded if item.load < spec.max_requests_per_group]


def _nearest(state: State, candidates: list[_Candidate]) -> list[_Candidate]:
    """Keep the groups of this zone, else of this region, else all."""
    region_zones = {
        peer.node.zone
        for peer in state.membership.peers.values()
        if peer.node.region == state.identity.region
    }
    for zones in ({state.identity.zone}, region_zones):
        near = [item for item in candidates if item.group.zone in zones]
        if near:
            return near
    return candidates


def _prefer_cached(
    state: State, wanted: Wanted, candidates: list[_Candidate]
) -> Group | None:
    """Prefer the longest cached prefix among groups that are not overloaded."""
    if not candidates:
        return None
    mean = sum(item.load for item in candidates) / len(candidates)
    limit = AFFINITY_LOAD_FACTOR * mean + 1

    def rank(item: _Candidate) -> tuple[int, int, float, int]:
        group = item.group
        cached = 0
        if wanted.blocks and item.load <= limit:
            cached = matched_blocks(
                state.routing, group.group, group.generation, wanted.blocks
            )
        # Groups that are equal otherwise take turns. The node's name spreads the first
        # choices of several nodes.
        return (
            -cached,
            item.load,
            last_start_s(state.routing, group.group),
            _spread(state.identity.node, group.group),
        )

    return min(candidates, key=rank).group


def _spread(node: str, group: str) -> int:
    return zlib.crc32(f"{node}/{group}".encode())


def _target(group: Group) -> Target:
    return Target(
        group=group.group,
        generation=group.generation,
        vm=group.leader.vm,
        boot_id=group.leader.boot_id,
        address=group.leader.address,
        boot_ids=tuple((member.vm, member.boot_id) for member in group.members),
    )
