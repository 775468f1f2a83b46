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
class GroupQuery:
    """Requirements of a request for its group.

    `blocks` are the hashes of the prompt's blocks. `required_group` restricts the
    choice to one group; groups in `excluded_groups` are not chosen.
    """

    spec: str
    blocks: tuple[str, ...] = ()
    required_group: str | None = None
    excluded_groups: Collection[str] = ()


@dataclass(frozen=True, slots=True)
class _Candidate:
    group: Group
    load: int


def open_groups(state: State, spec: str, now_s: float) -> list[Group]:
    """Return the groups of a spec that accept new requests."""
    evidence = state.membership.evidence
    return [
        group
        for group in state.groups.groups.values()
        if group.spec == spec and group_closed_reason(group, evidence, now_s) is None
    ]


def choose_group(state: State, query: GroupQuery, now_s: float) -> Target | None:
    """Return the best group with a free slot that satisfies the query, or None."""
    spec = state.config.objects.get((ObjectKind.GROUP_SPEC, query.spec))
    if not isinstance(spec, GroupSpec):
        return None
    candidates = _candidates(state, spec, query, now_s)
    chosen = _prefer_cached(state, query, _keep_nearest(state, candidates))
    return None if chosen is None else _create_target(chosen)


def _candidates(
    state: State, spec: GroupSpec, query: GroupQuery, now_s: float
) -> list[_Candidate]:
    groups = [
        group
        for group in open_groups(state, spec.name, now_s)
        if group.group not in query.excluded_groups
        and (query.required_group is None or group.group == query.required_group)
    ]
    not_ejected = [
        group for group in groups if not is_ejected(state.routing, group.group, now_s)
    ]
    # An ejected group is used when no other is left, because it is slow but works.
    evidence = state.membership.evidence
    candidates = [
        _Candidate(group, estimated_load(state.routing, group, evidence))
        for group in not_ejected or groups
    ]
    return [item for item in candidates if item.load < spec.max_requests_per_group]


def _keep_nearest(state: State, candidates: list[_Candidate]) -> list[_Candidate]:
    """Return the groups of this zone, else those of this region, else all."""
    region_zones = {
        peer.node.zone
        for peer in state.membership.peers.values()
        if peer.node.region == state.identity.region
    }
    for zones in ({state.identity.zone}, region_zones):
        nearest = [item for item in candidates if item.group.zone in zones]
        if nearest:
            return nearest
    return candidates


def _prefer_cached(
    state: State, query: GroupQuery, candidates: list[_Candidate]
) -> Group | None:
    """Return the group with the longest cached prefix, else the least loaded one.

    The cache of groups whose load is far above the mean does not count.
    """
    if not candidates:
        return None
    mean = sum(item.load for item in candidates) / len(candidates)
    limit = AFFINITY_LOAD_FACTOR * mean + 1

    def rank(item: _Candidate) -> tuple[int, int, float, int]:
        group = item.group
        cached = 0
        if query.blocks and item.load <= limit:
            cached = matched_blocks(
                state.routing, group.group, group.generation, query.blocks
            )
        # Otherwise equal groups are used in rotation. The hash of the node's name makes
        # nodes start with different groups.
        return (
            -cached,
            item.load,
            last_start_s(state.routing, group.group),
            _tie_break(state.identity.node, group.group),
        )

    return min(candidates, key=rank).group


def _tie_break(node: str, group: str) -> int:
    return zlib.crc32(f"{node}/{group}".encode())


def _create_target(group: Group) -> Target:
    return Target(
        group=group.group,
        generation=group.generation,
        vm=group.leader.vm,
        boot_id=group.leader.boot_id,
        address=group.leader.address,
        boot_ids=tuple((member.vm, member.boot_id) for member in group.members),
    )
