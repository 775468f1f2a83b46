"""Times of requests as this node observed them."""

from collections import defaultdict
from dataclasses import dataclass, field

from ..admission.estimate import UNKNOWN_TIMES, SlotTimes, update_low, update_mean

# A service and a model of the configuration; None for plain services, and for models
# that are not configured.
Kind = tuple[str, str | None]


@dataclass(slots=True)
class _Factors:
    """Observed times relative to the expected ones; None until the first one."""

    slot: float | None = None
    first_event: float | None = None


@dataclass(slots=True)
class ObservedTimes:
    """Longest deadlines of routes, and observed times of services and models.

    Only requests count that found a free slot, as the wait at a server is not a part of
    the times. Of services without expected times, the factors are seconds.
    """

    _longest_s: dict[str, float] = field(default_factory=dict)
    _factors: defaultdict[Kind, _Factors] = field(
        default_factory=lambda: defaultdict(_Factors)
    )

    def spent_s(self, route: str, timeout_s: float, remaining_s: float) -> float:
        """Return how long a caller has waited already, from its remaining time.

        Callers of a route start with the same deadline; one that comes back after a
        refusal sends the rest.
        """
        remaining_s = min(timeout_s, remaining_s)
        longest_s = max(self._longest_s.get(route, 0.0), remaining_s)
        self._longest_s[route] = longest_s
        return min(timeout_s, longest_s) - remaining_s

    def times(self, kind: Kind, profile: SlotTimes) -> SlotTimes:
        """Return the expected times, corrected by the observed ones."""
        factors = self._factors.get(kind)
        if profile.slot_s > 0.0:
            if factors is None:
                return profile
            return SlotTimes(
                profile.slot_s * (1.0 if factors.slot is None else factors.slot),
                profile.first_event_s
                * (1.0 if factors.first_event is None else factors.first_event),
            )
        if factors is None or factors.slot is None or factors.first_event is None:
            return UNKNOWN_TIMES
        return SlotTimes(factors.slot, factors.first_event)

    def record_first_event(self, kind: Kind, profile: SlotTimes, took_s: float) -> None:
        """Record the time from sending a request to its first event or answer."""
        factors = self._factors[kind]
        factor, prior = _relative(took_s, profile, profile.first_event_s)
        earlier = prior if factors.first_event is None else factors.first_event
        factors.first_event = update_low(earlier, factor)

    def record_complete(self, kind: Kind, profile: SlotTimes, took_s: float) -> None:
        """Record the time for which a complete answer took a slot."""
        factors = self._factors[kind]
        factor, prior = _relative(took_s, profile, profile.slot_s)
        earlier = prior if factors.slot is None else factors.slot
        factors.slot = update_mean(earlier, factor)


def _relative(
    took_s: float, profile: SlotTimes, expected_s: float
) -> tuple[float, float]:
    """Return a time relative to the expected one, and the factor to start from."""
    if profile.slot_s > 0.0:
        return took_s / expected_s, 1.0
    return took_s, took_s
