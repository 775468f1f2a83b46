"""Tests of the models' shares of the servers."""

from hypothesis import given
from hypothesis import strategies as st

from gooseberryhall.fleet.demand import (
    SMOOTHING_S,
    ModelDemand,
    configured_shares,
    demand_shares,
)
from gooseberryhall.fleet.models import EngineProfile, Model

LARGE = Model("large", 16, 1.0, 0.5, 16.0, 1.6)
SMALL = Model("small", 4, 0.6, 0.5, 12.0, 1.1)
PROFILE = EngineProfile(15, (LARGE, SMALL), 0.3, 27)
SERVERS = 222


def _share(profile: EngineProfile, name: str) -> float:
    model = profile.model(name)
    assert model is not None
    return model.share


def _run(demand: ModelDemand, in_flight: dict[str, int], seconds: float) -> None:
    for _ in range(int(seconds / 0.5)):
        now_s = (demand._updated_s or 0.0) + 0.5
        demand.update(PROFILE, in_flight, SERVERS, now_s)


def test_model_in_demand_gets_more_servers() -> None:
    """Guards against full groups of one model beside idle ones of another.

    The large model has 30 requests in flight and room for 104, the small one 400 and
    room for 416; the configured shares are equal.
    """
    demand = ModelDemand()
    _run(demand, {"large": 30, "small": 400}, 4 * SMOOTHING_S)
    profile = demand.apply(PROFILE)
    assert _share(profile, "small") > 0.6
    assert _share(profile, "large") > 0.3


def test_short_burst_moves_no_servers() -> None:
    """Guards against groups that change their model for a burst of a second."""
    demand = ModelDemand()
    even = {"large": 45, "small": 180}
    _run(demand, even, 4 * SMOOTHING_S)
    before = demand.apply(PROFILE)
    _run(demand, {"large": 45, "small": 300}, 1.0)
    assert demand.apply(PROFILE) == before
    _run(demand, even, 4 * SMOOTHING_S)
    assert demand.apply(PROFILE) == before


def test_model_without_requests_keeps_servers() -> None:
    """Guards against a model that loses all groups while nobody asks for it."""
    shares = demand_shares(PROFILE, {"small": 200.0}, SERVERS)
    assert shares["large"] * SERVERS > LARGE.size


def test_configured_shares_hold_without_traffic() -> None:
    """Guards against shares that are made up by a node that knows no traffic."""
    assert ModelDemand().apply(PROFILE) is PROFILE
    assert demand_shares(PROFILE, {}, SERVERS) == configured_shares(PROFILE)
    assert sum(demand_shares(PROFILE, {}, 0).values()) == 1.0


@given(st.integers(0, 500), st.integers(0, 500), st.integers(1, 400))
def test_shares_are_a_partition(large: int, small: int, servers: int) -> None:
    """Guards against shares that give away more servers than there are."""
    used = {"large": float(large), "small": float(small)}
    shares = demand_shares(PROFILE, used, servers)
    assert abs(sum(shares.values()) - 1.0) < 1e-9
    assert all(share > 0 for share in shares.values())
