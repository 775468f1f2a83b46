"""Shares of the servers that the models get, by the requests in flight.

Load pattern: the mix of requests differs from the configured shares, or changes, so
that the groups of one model are full while servers of another are idle.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Final

from .models import EngineProfile

# Time constant of the mean; shorter bursts must not move servers, because a group that
# changes its model serves nobody for a second or two.
SMOOTHING_S: Final = 5.0
# Share of all servers that follows the configured shares whatever the demand, so that a
# model without requests at the moment keeps some groups.
CONFIGURED_SHARE: Final = 0.2


@dataclass(slots=True)
class ModelDemand:
    """Demand for each model as an owner sees it."""

    # Servers that the requests in flight keep in use, by model; a moving average.
    _used: dict[str, float] = field(default_factory=dict)
    _updated_s: float | None = None
    # Shares in force, by model.
    _shares: dict[str, float] = field(default_factory=dict)

    def update(
        self,
        profile: EngineProfile,
        in_flight: Mapping[str, int],
        server_count: int,
        now_s: float,
    ) -> None:
        """Record the requests in flight at all groups, by model."""
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        self._updated_s = now_s
        weight = min(1.0, elapsed_s / SMOOTHING_S)
        for name, used in servers_in_use(profile, in_flight).items():
            mean = self._used.get(name, 0.0)
            self._used[name] = mean + weight * (used - mean)
        shares = demand_shares(profile, self._used, server_count)
        current = self._shares or configured_shares(profile)
        if moves_a_group(profile, current, shares, server_count):
            self._shares = shares

    def apply(self, profile: EngineProfile) -> EngineProfile:
        """Return the profile with the shares in force."""
        if not self._shares:
            return profile
        models = tuple(
            replace(model, share=self._shares.get(model.name, model.share))
            for model in profile.models
        )
        return replace(profile, models=models)


def servers_in_use(
    profile: EngineProfile, in_flight: Mapping[str, int]
) -> dict[str, float]:
    """Return the servers that the requests of each model would fill."""
    return {
        model.name: in_flight.get(model.name, 0) * model.size / profile.slots
        for model in profile.models
    }


def configured_shares(profile: EngineProfile) -> dict[str, float]:
    """Return the shares of the configuration, by model; their sum is 1."""
    total = sum(model.share for model in profile.models)
    if total <= 0:
        return {model.name: 1 / len(profile.models) for model in profile.models}
    return {model.name: model.share / total for model in profile.models}


def demand_shares(
    profile: EngineProfile, used: Mapping[str, float], server_count: int
) -> dict[str, float]:
    """Return the shares by which all models are used to the same degree.

    The configured shares count as demand for `CONFIGURED_SHARE` of the servers.
    """
    reserved = CONFIGURED_SHARE * server_count
    total = sum(used.values()) + reserved
    configured = configured_shares(profile)
    if total <= 0:
        return configured
    return {
        name: (used.get(name, 0.0) + reserved * share) / total
        for name, share in configured.items()
    }


def moves_a_group(
    profile: EngineProfile,
    current: Mapping[str, float],
    shares: Mapping[str, float],
    server_count: int,
) -> bool:
    """Return whether new shares move at least the servers of the largest group.

    Smaller changes would dissolve and form groups again and again.
    """
    largest = max(model.size for model in profile.models)
    gained = max(share - current.get(name, 0.0) for name, share in shares.items())
    return gained * server_count >= largest
