"""Tests of the limits of requests to cold servers."""

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberryhall.fleet.cold import (
    GRANT_HOLD_S,
    GRANT_TTL_S,
    STATE_LAG_S,
    ColdLimit,
    StatedCold,
    cold_left_s,
)
from gooseberryhall.fleet.grants import GrantLedger, choose_grant, rank
from gooseberryhall.fleet.models import BackendServer, ColdGrant
from gooseberryhall.gateway.cold import ColdServers
from tests.fleet.common import server

LIMIT = ColdLimit(3.0, 14.0, 1.5, 5.0)
NODES = [f"n{number}" for number in range(30)]


def _passing(grant: tuple[int, int] | None, nodes: list[str] = NODES) -> list[str]:
    return [node for node in nodes if grant and rank("s1", node) <= grant[0]]


@pytest.mark.parametrize(
    ("per_s", "overrun", "slack", "budget", "window_s"),
    [
        (14.0, 1.5, 5.0, 13, 1.1),
        (14.0, 1.0, 0.0, 7, 1.1),
        (1.5, 1.5, 5.0, 1, 1.1),
        (0.5, 1.5, 5.0, 1, 2.2),
        (0.5, 1.0, 0.0, 0, 2.2),
    ],
)
def test_budget_of_a_selection_is_half_of_the_bound(
    per_s: float, overrun: float, slack: float, budget: int, window_s: float
) -> None:
    """Guards against two owners whose different nodes exceed the bound together."""
    limit = ColdLimit(3.0, per_s, overrun, slack)
    assert (limit.budget, limit.window_s) == (budget, window_s)


@pytest.mark.parametrize(
    ("nodes", "passing", "requests"), [(30, 6, 2), (6, 6, 2), (3, 3, 4), (1, 1, 13)]
)
def test_few_live_nodes_send_more_each(nodes: int, passing: int, requests: int) -> None:
    """Guards against cold servers that get nothing if few nodes are live."""
    grant = choose_grant("s1", NODES[:nodes], NODES[:nodes], {}, LIMIT.budget)
    assert grant is not None
    assert grant[1] == requests
    assert len(_passing(grant, NODES[:nodes])) == passing


def test_nodes_that_are_not_heard_count_as_receivers() -> None:
    """Guards against a cut off node that passes the threshold and is not counted."""
    grant = choose_grant("s1", NODES, NODES[:2], {}, LIMIT.budget)
    assert grant is not None
    assert len(_passing(grant)) * grant[1] <= LIMIT.budget


def test_earlier_grants_count_until_they_have_no_effect() -> None:
    """Guards against new nodes that are selected while the others may still send."""
    ledger = GrantLedger()
    early = NODES[:10]
    first = _passing(ledger.issue("s1", early, early, LIMIT, 0.0), early)
    soon = ledger.issue("s1", NODES[10:], NODES[10:], LIMIT, 0.5)
    later_s = 0.6 + LIMIT.holding_s
    later = _passing(ledger.issue("s1", NODES[10:], NODES[10:], LIMIT, later_s))
    assert len(first) == 6
    added = len(_passing(soon, NODES[10:])) * soon[1] if soon else 0
    assert 2 * len(first) + added <= LIMIT.budget
    assert len({*later}.intersection(NODES[10:])) == 6


S1 = server("s1", cold_remaining_s=2.0, arrived_s=10.0)
WARM = replace(S1, cold_remaining_s=0.0)


@pytest.mark.parametrize(
    ("state", "stated", "now_s", "left_s"),
    [
        (S1, None, 10.5, 1.5),
        (S1, None, 13.0, 0.0),
        # An answer that arrived later, and one that arrived earlier.
        (S1, StatedCold(0.2, 0.1), 10.5, 0.2),
        (S1, StatedCold(0.2, 0.9), 10.5, 1.5),
        # The record may have been written before the answer, or was not.
        (WARM, StatedCold(2.5, 0.5 + STATE_LAG_S), 10.5, 2.5),
        (WARM, StatedCold(2.5, 0.6 + STATE_LAG_S), 10.5, 0.0),
    ],
)
def test_newer_state_of_a_server_counts(
    state: BackendServer, stated: StatedCold | None, now_s: float, left_s: float
) -> None:
    """Guards against an old record that hides that a server is cold again."""
    found_s = cold_left_s(state, 3.0, now_s, stated=stated)
    assert found_s == pytest.approx(left_s)


def test_servers_of_a_restored_zone_are_cold_until_a_newer_record() -> None:
    """Guards against the usual load on servers that became cold in an evacuation."""
    assert cold_left_s(WARM, 3.0, 10.5, restored_s=10.2) == pytest.approx(2.7)
    newer = replace(WARM, arrived_s=10.3 + STATE_LAG_S)
    assert cold_left_s(newer, 3.0, 12.1, restored_s=10.2) == 0.0


COLD = server("s1", cold_remaining_s=500.0, arrived_s=100.0)


@dataclass(slots=True)
class Zone:
    """Nodes of a zone, two of which may be owners, and their requests to a server."""

    limit: ColdLimit
    size: int
    now_s: float = 100.0
    nodes: list[ColdServers] = field(default_factory=list)
    views: list[BackendServer] = field(default_factory=list)
    # Last datagram that waits for a frozen node; None for nodes that run.
    waiting: dict[int, BackendServer | None] = field(default_factory=dict)
    arrivals_s: list[float] = field(default_factory=list)
    cold: BackendServer = COLD

    def __post_init__(self) -> None:
        """Create nodes that have no grant."""
        self.nodes = [
            ColdServers(node, "z", lambda _: self.limit, clock=lambda: self.now_s)
            for node in NODES[: self.size]
        ]
        self.views = [self.cold] * self.size

    def advance(self, seconds: float) -> None:
        """Let time pass; nodes that run notice it."""
        self.now_s += seconds
        for index, node in enumerate(self.nodes):
            if index not in self.waiting:
                node.observe_clock()

    def announce(self, owner: int, known_mask: int, live_mask: int) -> None:
        """Announce the server to all known nodes."""
        if owner in self.waiting:
            return
        known = [i for i in range(self.size) if known_mask >> i & 1 or i == owner]
        live = [NODES[i] for i in known if live_mask >> i & 1 or i == owner]
        names = [NODES[i] for i in known]
        announced = self.nodes[owner].describe(self.cold, names, live, may_grant=True)
        for index in known:
            if index in self.waiting:
                self.waiting[index] = announced
            else:
                self.receive(index, announced)

    def receive(self, index: int, announced: BackendServer) -> None:
        """Apply an announcement that arrives now."""
        grant = announced.cold_grant
        if grant is not None:
            grant = replace(grant, arrived_s=self.now_s)
        self.views[index] = replace(announced, arrived_s=self.now_s, cold_grant=grant)
        self.nodes[index].observe_clock()

    def toggle_freeze(self, index: int) -> None:
        """Freeze a node, or let it run again and read its last datagram."""
        if index not in self.waiting:
            self.waiting[index] = None
            return
        announced = self.waiting.pop(index)
        if announced is not None:
            self.receive(index, announced)

    def send(self, index: int, tries: int, delay_s: float) -> None:
        """Send as many requests as the node may; they arrive later."""
        if index in self.waiting:
            return
        for _ in range(tries):
            if self.nodes[index].may_send(self.views[index]):
                self.nodes[index].record_sent(self.views[index])
                self.arrivals_s.append(self.now_s + delay_s)

    def most_in_a_second(self) -> int:
        """Return the largest number of requests that arrived within a second."""
        times_s = self.arrivals_s
        return max(
            (sum(1 for t in times_s if start <= t < start + 1) for start in times_s),
            default=0,
        )


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["announce", "announce", "send", "send", "freeze"]),
        st.integers(0, 39),
        st.integers(0, 255),
        st.integers(0, 255),
        st.sampled_from([0.0, 0.02, 0.15, 0.35]),
    ),
    min_size=20,
    max_size=120,
)


@pytest.mark.parametrize("owners", [1, 2])
@given(
    limit=st.builds(
        ColdLimit,
        st.just(3.0),
        st.sampled_from([0.5, 1.0, 1.5, 3.0, 14.0, 40.0]),
        st.sampled_from([1.0, 1.5]),
        st.sampled_from([0.0, 5.0]),
    ),
    size=st.integers(2, 8),
    steps=_STEPS,
)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_bound_holds_whatever_nodes_know(
    owners: int,
    limit: ColdLimit,
    size: int,
    steps: list[tuple[str, int, int, int, float]],
) -> None:
    """Guards against nodes that send more than the bound together.

    Two owners know different nodes at any moment, nodes are cut off, freeze and wake up
    with an old announcement, and requests are delayed by up to 0.1 s.
    """
    zone = Zone(limit, size)
    for kind, number, first_mask, second_mask, seconds in steps:
        zone.advance(seconds)
        if kind == "announce":
            zone.announce(number % owners, first_mask, second_mask)
        elif kind == "send":
            for index in range(size):
                zone.send(index, number, (first_mask >> index & 1) * 0.1)
        else:
            zone.toggle_freeze(number % size)
    bound = limit.requests_per_s * limit.overrun + limit.slack
    one_owner = min(bound, max(1.0, limit.requests_per_s))
    assert zone.most_in_a_second() <= (one_owner if owners == 1 else bound)


def _granted_node() -> tuple[Zone, ColdServers]:
    zone = Zone(LIMIT, 1)
    zone.announce(0, 1, 1)
    return zone, zone.nodes[0]


def test_grant_ends_if_it_is_not_repeated() -> None:
    """Guards against requests to cold servers while the zone has no owner."""
    zone, node = _granted_node()
    assert node.may_send(zone.views[0])
    for _ in range(10):
        zone.advance(GRANT_TTL_S / 10 + 0.001)
    assert not node.may_send(zone.views[0])


def test_announcement_that_waited_in_a_pause_grants_nothing() -> None:
    """Guards against a frozen node that takes an old datagram for a new one."""
    zone, node = _granted_node()
    zone.toggle_freeze(0)
    zone.waiting[0] = zone.views[0]
    zone.advance(30.0)
    zone.toggle_freeze(0)
    assert not node.may_send(zone.views[0])
    for _ in range(2):
        zone.advance(GRANT_HOLD_S / 2 + 0.01)
        assert not node.may_send(zone.views[0])
    zone.receive(0, zone.views[0])
    assert node.may_send(zone.views[0])


def test_grant_is_for_nodes_of_the_owners_zone() -> None:
    """Guards against nodes of other zones that nobody counted."""
    zone, node = _granted_node()
    grant = ColdGrant(0xFFFF, 9, "other", zone.now_s)
    assert not node.may_send(replace(zone.views[0], cold_grant=grant))


def test_requests_that_are_placed_take_the_room_of_others() -> None:
    """Guards against many requests that are placed at a server and sent elsewhere."""
    zone, node = _granted_node()
    node.update(zone.views)
    for _ in range(13):
        assert node.may_send(zone.views[0], placing=True)
        node.start_placing(zone.views[0])
    assert not node.may_send(zone.views[0], placing=True)
    assert node.may_send(zone.views[0])


def test_incarnation_that_nobody_described_is_cold_after_traffic_began() -> None:
    """Guards against the usual load on a server that an earlier owner announces."""
    zone = Zone(LIMIT, 1)
    node = zone.nodes[0]
    old = server("s1", started_at_ms=5)
    assert node.may_send(old)
    node.traffic_seen = lambda: True
    assert node.may_send(old)
    started = server("s1", started_at_ms=6)
    assert not node.may_send(started)
    assert not node.may_send(server("s2"))
    # Nothing grants a request, as the earlier owner selects no nodes.
    zone.advance(LIMIT.start_s - 0.1)
    assert not node.may_send(started)
    zone.advance(0.2)
    assert node.may_send(started)


def test_server_without_a_state_stays_cold_as_last_known() -> None:
    """Guards against an owner of an earlier version that tells no cold times."""
    zone, node = _granted_node()
    node.update([zone.views[0]])
    untold = replace(zone.views[0], cold_remaining_s=None, cold_grant=None)
    assert not node.may_send(untold)


def test_slots_return_after_the_cold_time() -> None:
    """Guards against the whole load at the moment at which servers become warm."""
    zone, node = _granted_node()
    assert node.update([zone.views[0]]) == 1
    warm = replace(zone.views[0], cold_remaining_s=0.0)
    assert node.usable_slots(warm, 10) == 1
    assert node.update([warm]) == 0
    zone.advance(0.3)
    node.update([warm])
    assert node.usable_slots(warm, 10) in {2, 3}
    zone.advance(0.35)
    zone.advance(0.36)
    node.update([warm])
    assert node.usable_slots(warm, 10) == 10
