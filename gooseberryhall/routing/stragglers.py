"""Ejects groups that are much slower than the other groups of their spec."""

from collections.abc import Mapping, Sequence
from statistics import median

from ..groups.models import Group
from .const import (
    LATENCY_LIFETIME_S,
    LATENCY_MIN_SAMPLES,
    LATENCY_WEIGHT,
    STRAGGLER_AFTER_S,
    STRAGGLER_FACTOR,
    STRAGGLER_MAX_SHARE,
    STRAGGLER_PAUSE_S,
)
from .events import LatencyObserved
from .state import Average, GroupLatency, RoutingState


def observe_latency(state: RoutingState, event: LatencyObserved, now_s: float) -> None:
    """Take a sample into the averages of a group."""
    latency = state.latencies.setdefault(event.group, GroupLatency())
    if now_s - latency.last_sample_s > LATENCY_LIFETIME_S:
        latency.first_token, latency.gap = Average(), Average()
        latency.slow_since_s = None
    latency.last_sample_s = now_s
    if event.first_token_s is not None:
        _add(latency.first_token, event.first_token_s)
    if event.gap_s is not None:
        _add(latency.gap, event.gap_s)


def eject_stragglers(
    state: RoutingState, groups: Mapping[str, Group], now_s: float
) -> list[str]:
    """Update which groups are ejected; return those that are newly ejected."""
    by_spec: dict[str, list[str]] = {}
    for group in groups.values():
        by_spec.setdefault(group.spec, []).append(group.group)
    ejected = []
    for names in by_spec.values():
        _mark_slow(state, names, now_s)
        ejected.extend(_eject(state, names, now_s))
    return ejected


def is_ejected(state: RoutingState, group: str, now_s: float) -> bool:
    """Return whether the group gets no new work because it is slow."""
    latency = state.latencies.get(group)
    return latency is not None and latency.ejected_until_s > now_s


def _add(average: Average, value: float) -> None:
    if average.samples == 0:
        average.value = value
    else:
        average.value += LATENCY_WEIGHT * (value - average.value)
    average.samples += 1


def _mark_slow(state: RoutingState, names: Sequence[str], now_s: float) -> None:
    known = {
        name: state.latencies[name]
        for name in names
        if name in state.latencies
        and now_s - state.latencies[name].last_sample_s <= LATENCY_LIFETIME_S
    }
    slow = _above_median({name: item.first_token for name, item in known.items()})
    slow |= _above_median({name: item.gap for name, item in known.items()})
    for name, latency in known.items():
        if name not in slow:
            latency.slow_since_s = None
        elif latency.slow_since_s is None:
            latency.slow_since_s = now_s


def _above_median(averages: Mapping[str, Average]) -> set[str]:
    """Return the groups whose average exceeds the factor over the median."""
    values = {
        name: average.value
        for name, average in averages.items()
        if average.samples >= LATENCY_MIN_SAMPLES
    }
    if len(values) <= 1:
        return set()
    limit = STRAGGLER_FACTOR * median(values.values())
    return {name for name, value in values.items() if value > limit}


def _eject(state: RoutingState, names: Sequence[str], now_s: float) -> list[str]:
    out = sum(1 for name in names if is_ejected(state, name, now_s))
    allowed = int(len(names) * STRAGGLER_MAX_SHARE) - out
    due = [
        (latency.slow_since_s, name)
        for name in names
        if (latency := state.latencies.get(name)) is not None
        and latency.slow_since_s is not None
        and latency.ejected_until_s <= now_s
        and now_s - latency.slow_since_s >= STRAGGLER_AFTER_S
    ]
    ejected = [name for _, name in sorted(due)[: max(allowed, 0)]]
    for name in ejected:
        # Old samples would eject the group again before new ones are taken.
        state.latencies[name] = GroupLatency(ejected_until_s=now_s + STRAGGLER_PAUSE_S)
    return ejected
