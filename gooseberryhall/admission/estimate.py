"""Expected times and places at groups and servers.

Load pattern: in a burst most groups are full, and the load that other nodes report is
0.15 to 0.45 s old. Slots of full groups become free meanwhile, so a full group is a
better choice than its last report tells, and a group that has just opened a worse one.
"""

from dataclasses import dataclass
from typing import Final, NamedTuple

from ..fleet.models import EngineProfile
from .const import (
    FIGURES_AGE_S,
    LOW_FALL_WEIGHT,
    LOW_RISE_WEIGHT,
    MAX_QUEUED_PER_GROUP,
    PASSES_TO_FIRST_EVENT,
    QUEUE_SHARE,
    SAMPLE_WEIGHT,
)

_TOKENS_PER_CONTEXT_UNIT = 1000


@dataclass(frozen=True, slots=True)
class SlotTimes:
    """Expected times of a request at a server whose slots are all in use."""

    # Time for which a request takes a slot; 0 if it is unknown.
    slot_s: float = 0.0
    # Time from the start in a slot to the first event, or to the complete answer.
    first_event_s: float = 0.0


UNKNOWN_TIMES: Final = SlotTimes()


class Capacity(NamedTuple):
    """What a server is expected to take from a request that is being placed."""

    # Requests in flight from which on it is full.
    limit: int
    # Requests that it takes, with the slots that became free since the last report;
    # None if the times are unknown.
    places: float | None


def profile_times(
    engine: EngineProfile, model: str | None, prompt_tokens: int | None = None
) -> SlotTimes:
    """Return the times that the configuration states for a group of a model."""
    timing = engine.timing
    found = engine.model(model) if model is not None else None
    factor = found.time_factor if found else 1.0
    context = timing.mean_prompt_tokens + timing.mean_answer_tokens / 2
    per_request_s = (
        timing.step_per_request_s
        + timing.step_per_context_s * context / _TOKENS_PER_CONTEXT_UNIT
    )
    step_s = (timing.step_s + engine.slots * per_request_s) * factor
    answer_s = timing.mean_answer_tokens * step_s
    if answer_s <= 0.0:
        return UNKNOWN_TIMES
    token_s = factor / timing.prompt_tokens_per_s if timing.prompt_tokens_per_s else 0.0
    own_tokens = timing.mean_prompt_tokens if prompt_tokens is None else prompt_tokens
    pass_s = timing.steps_per_pass * step_s
    return SlotTimes(
        slot_s=timing.mean_prompt_tokens * token_s + answer_s,
        first_event_s=own_tokens * token_s + PASSES_TO_FIRST_EVENT * pass_s,
    )


def update_mean(mean: float, sample: float) -> float:
    """Return a moving average after another sample."""
    return mean + SAMPLE_WEIGHT * (sample - mean)


def update_low(low: float, sample: float) -> float:
    """Return a moving value near the lowest tenth of the samples.

    Some requests wait at a server whose slots seemed free. An average would take all
    requests for late in a burst.
    """
    weight = LOW_RISE_WEIGHT if sample > low else LOW_FALL_WEIGHT
    return low + weight * (sample - low)


def expected_wait_s(in_flight: float, slots: int, slot_s: float) -> float:
    """Return the time until a new request gets a slot."""
    ahead = in_flight - slots + 1
    return max(0.0, ahead) * slot_s / max(1, slots)


def estimate_capacity(
    in_flight: int,
    peers: int,
    slots: int,
    times: SlotTimes,
    time_left_s: float,
    *,
    max_queued: int = MAX_QUEUED_PER_GROUP,
) -> Capacity:
    """Return what a server takes of requests with this time left to the objective.

    `peers` is the part of `in_flight` that other nodes reported. Beyond the slots a
    server takes as many requests as are expected to be in time. A request that cannot
    be in time gets a free slot only. Without known times the numbers are fixed.
    """
    if times.slot_s <= 0.0:
        return Capacity(slots + max_queued, None)
    if is_late(times, time_left_s):
        return Capacity(slots, slots - in_flight)
    spare_s = time_left_s - times.first_event_s
    queued = min(max_queued, spare_s * slots / times.slot_s)
    freed = min(peers, slots) * min(1.0, FIGURES_AGE_S / times.slot_s)
    return Capacity(
        slots + int(queued), slots + QUEUE_SHARE * queued - in_flight + freed
    )


def is_late(times: SlotTimes, time_left_s: float) -> bool:
    """Return whether a request cannot be in time even at a server with a free slot."""
    return times.first_event_s > time_left_s
