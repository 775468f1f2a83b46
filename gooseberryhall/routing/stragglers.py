"""Ejects groups that are much slower than the other groups of their spec."""

from collections.abc import Mapping, Sequence
from statistics import median

from ..groups.models import Group
from .const import (
    LATENCY_LIFETIME_S,
    LATENCY_MIN_SAMPLES,
    LATENCY_SMOOTHING_FACTOR,
    MAX_EJECTED_SHARE,
    STRAGGLER_EJECTION_S,
    STRAGGLER_FACTOR,
    STRAGGLER_MIN_SLOW_S,
)
from .events import LatencyObserved
from .state import GroupLatency, MovingAverage, RoutingState


def observe_latency(state: RoutingState, event: LatencyObserved, now_s: float) -> None:
    """Add a sample to the averages of a group; outdated averages are reset first."""
    latency = state.latencies.setdefault(event.group, GroupLatency())
    if now_s - latency.last_sample_s > LATENCY_LIFETIME_S:
        latency.first_token, latency.gap = MovingAverage(), MovingAverage()
        latency.slow_since_s = None
    latency.last_sample_s = now_s
    if event.first_token_s is not None:
        _add_sample(latency.first_token, event.first_token_s)
    if event.gap_s is not None:
        _add_sample(latency.gap, event.gap_s)


def eject_stragglers(
    state: RoutingState, groups: Mapping[str, Group], now_s: float
) -> list[str]:
    """Eject groups that have been slow for long enough and return their names."""
    by_spec: dict[str, list[str]] = {}
    for group in groups.values():
        by_spec.setdefault(group.spec, []).append(group.group)
    ejected = []
    for names in by_spec.values():
        _mark_slow(state, names, now_s)
        ejected.extend(_eject(state, names, now_s))
    return ejected


def is_ejected(state: RoutingState, group: str, now_s: float) -> bool:
    """Return whether the group gets no new requests because it is slow."""
    latency = state.latencies.get(group)
    return latency is not None and latency.ejected_until_s > now_s


def _add_sample(average: MovingAverage, value: float) -> None:
    if average.samples == 0:
        average.value = value
    else:
        average.value += LATENCY_SMOOTHING_FACTOR * (value - average.value)
    average.samples += 1


def _mark_slow(state: RoutingState, names: Sequence[str], now_s: float) -> None:
    latencies = {
        name: state.latencies[name]
        for name in names
        if name in state.latencies
        and now_s - state.latencies[name].last_sample_s <= LATENCY_LIFETIME_S
    }
    slow = _above_median({name: item.first_token for name, item in latencies.items()})
    slow |= _above_median({name: item.gap for name, item in latencies.items()})
    for name, latency in latencies.items():
        if name not in slow:
            latency.slow_since_s = None
        elif latency.slow_since_s is None:
            latency.slow_since_s = now_s


def _above_median(averages: Mapping[str, MovingAverage]) -> set[str]:
    """Return the groups whose average exceeds STRAGGLER_FACTOR times the median."""
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
    ejected_count = sum(1 for name in names if is_ejected(state, name, now_s))
    allowed = int(len(names) * MAX_EJECTED_SHARE) - ejected_count
    candidates = [
        (latency.slow_since_s, name)
        for name in names
        if (latency := state.latencies.get(name)) is not None
        and latency.slow_since_s is not None
        and latency.ejected_until_s <= now_s
        and now_s - latency.slow_since_s >= STRAGGLER_MIN_SLOW_S
    ]
    ejected = [name for _, name in sorted(candidates)[: max(allowed, 0)]]
    for name in ejected:
        # Old samples would eject the group again before there are new ones.
        state.latencies[name] = GroupLatency(
            ejected_until_s=now_s + STRAGGLER_EJECTION_S
        )
    return ejected
