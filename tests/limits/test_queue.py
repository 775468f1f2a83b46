"""Tests of admission, the fair queue, rate limits and the retry budget."""

import math
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gooseberryhall.config.models import Team
from gooseberryhall.core.effects import Effect
from gooseberryhall.core.events import Event, Tick
from gooseberryhall.core.reducer import reduce
from gooseberryhall.limits.events import LimitsConfigured
from gooseberryhall.limits.rate import consume_retry, record_request
from gooseberryhall.limits.state import LimitsState
from gooseberryhall.membership.models import Node
from gooseberryhall.membership.state import PeerState
from gooseberryhall.requests.effects import FailRequest, RequestEnded, StartAttempt
from gooseberryhall.requests.events import (
    CallerDisconnected,
    FirstContent,
    RequestArrived,
    RequestFinished,
    StreamBroken,
)
from gooseberryhall.requests.models import BreakReason, ModelRequest, RequestPhase
from tests.routing.common import SPEC, TEAM, add_group, create_state, report_serving

TEAMS = {
    "large": TEAM.model_copy(update={"name": "large", "weight": 4}),
    "small": TEAM.model_copy(update={"name": "small", "weight": 1}),
    "capped": TEAM.model_copy(update={"name": "capped", "max_in_flight": 2}),
}
GROUPS = ("a", "b")
QUEUE_LIMIT = 8


class RequestMachine(RuleBasedStateMachine):
    """Requests that arrive, run, break and end in any order."""

    def __init__(self) -> None:
        """Start with two open groups."""
        super().__init__()
        self.now_s = 0.0
        self.number = 0
        self.running: set[str] = set()
        self.arrived: set[str] = set()
        self.outcomes: Counter[str] = Counter()
        self.state = create_state(SPEC, *TEAMS.values())
        for name in GROUPS:
            add_group(self.state, name)
        self.send(LimitsConfigured(QUEUE_LIMIT, 5.0))

    def send(self, event: Event) -> list[Effect]:
        """Apply an event and track its effects."""
        effects = reduce(self.state, event, self.now_s)
        for effect in effects:
            if isinstance(effect, StartAttempt):
                self.running.add(effect.request_id)
            elif isinstance(effect, FailRequest):
                self.running.discard(effect.request_id)
            elif isinstance(effect, RequestEnded):
                self.outcomes[effect.request_id] += 1
                self.running.discard(effect.request_id)
        return effects

    @rule(
        team=st.sampled_from(sorted(TEAMS)),
        text=st.sampled_from(["f1", "f2", ""]),
        deadline_s=st.sampled_from([None, 0.5, 30.0]),
    )
    def arrive(self, team: str, text: str, deadline_s: float | None) -> None:
        """Send a request of a team."""
        self.number += 1
        request_id = f"r{self.number}"
        self.arrived.add(request_id)
        request = ModelRequest(
            request_id=request_id,
            team=team,
            weight=TEAMS[team].weight,
            priority=5,
            spec=SPEC.name,
            fingerprint=text or request_id,
            deadline_s=None if deadline_s is None else self.now_s + deadline_s,
        )
        self.send(RequestArrived(request))

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def finish(self, data: st.DataObject) -> None:
        """Complete a running request."""
        request_id = data.draw(st.sampled_from(sorted(self.running)))
        self.running.discard(request_id)
        self.send(FirstContent(request_id))
        self.send(RequestFinished(request_id))

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def pass_content(self, data: st.DataObject) -> None:
        """Deliver the first content of a running request."""
        self.send(FirstContent(data.draw(st.sampled_from(sorted(self.running)))))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), reason=st.sampled_from(list(BreakReason)))
    def break_stream(self, data: st.DataObject, reason: BreakReason) -> None:
        """Break the stream of a running request."""
        request_id = data.draw(st.sampled_from(sorted(self.running)))
        self.running.discard(request_id)
        effects = self.send(StreamBroken(request_id, reason, ""))
        if any(type(effect).__name__ == "ResumeAttempt" for effect in effects):
            self.running.add(request_id)

    @precondition(lambda self: self.state.requests.active)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        """Disconnect a caller."""
        request_id = data.draw(st.sampled_from(sorted(self.state.requests.active)))
        self.running.discard(request_id)
        self.send(CallerDisconnected(request_id))

    @rule(step_s=st.sampled_from([0.1, 1.0, 6.0]), fresh=st.booleans())
    def pass_time(self, step_s: float, fresh: bool) -> None:
        """Advance the time, with or without new evidence."""
        self.now_s += step_s
        if fresh:
            for name in GROUPS:
                report_serving(self.state, self.state.groups.groups[name], self.now_s)
        self.send(Tick())

    @invariant()
    def counts_agree(self) -> None:
        """Check that all counts equal the running requests and stay in their limits."""
        by_group = {
            name: load.in_flight for name, load in self.state.routing.loads.items()
        }
        assert all(count >= 0 for count in by_group.values())
        assert sum(by_group.values()) == len(self.running)
        assert sum(self.state.limits.running.values()) == len(self.running)
        assert self.state.limits.running.get("capped", 0) <= 2
        assert all(count <= SPEC.max_requests_per_group for count in by_group.values())

    @invariant()
    def queue_is_bounded(self) -> None:
        """Check that only restarted requests exceed the limit; they were admitted."""
        waiting = self.state.limits.queued.values()
        assert sum(not item.restarted for item in waiting) <= QUEUE_LIMIT + 1

    @invariant()
    def every_request_has_one_outcome(self) -> None:
        """Check that each request is either active or has exactly one outcome."""
        active = set(self.state.requests.active)
        assert set(self.outcomes) == self.arrived - active
        assert all(count == 1 for count in self.outcomes.values())
        # A failed request whose cause is being confirmed has no slot and is not queued.
        confirming = {
            request_id
            for request_id, record in self.state.requests.active.items()
            if record.phase is RequestPhase.CONFIRMING
        }
        assert not confirming & self.running
        suspects = self.state.requests.suspects
        possible = {item.fingerprint for item in suspects.possible_crashes}
        active_requests = self.state.requests.active
        assert all(
            active_requests[request_id].request.fingerprint in possible
            for request_id in confirming
        )
        assert set(self.state.limits.queued) == active - self.running - confirming

    def teardown(self) -> None:
        """Check that no state remains after all requests have ended."""
        self.now_s += 100.0
        self.send(Tick())
        for request_id in sorted(self.running):
            self.send(CallerDisconnected(request_id))
        assert not self.state.requests.active
        assert not self.state.limits.running
        assert all(load.in_flight == 0 for load in self.state.routing.loads.values())


TestRequestMachine = RequestMachine.TestCase
TestRequestMachine.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)


def dispatched_shares(backlog: dict[str, int], starts: int) -> Counter[str]:
    """Return how many of the next starts each team gets with these backlogs."""
    state = create_state(SPEC, *TEAMS.values())
    add_group(state, "a")
    reduce(state, LimitsConfigured(1000, math.inf), 0.0)
    teams: dict[str, str] = {}
    shares: Counter[str] = Counter()
    running: list[str] = []

    def send(event: Event) -> None:
        for effect in reduce(state, event, 0.0):
            if isinstance(effect, StartAttempt):
                running.append(effect.request_id)

    for team, count in backlog.items():
        for number in range(count):
            request_id = f"{team}-{number}"
            teams[request_id] = team
            weight = TEAMS[team].weight
            send(
                RequestArrived(
                    ModelRequest(request_id, team, weight, 5, SPEC.name, request_id)
                )
            )
    first = len(running)
    while len(running) < first + starts:
        send(RequestFinished(running[len(running) - SPEC.max_requests_per_group]))
    for request_id in running[first:]:
        shares[teams[request_id]] += 1
    return shares


def test_shares_follow_the_weights() -> None:
    """Guards against starvation of a small team by the long queue of a large one."""
    shares = dispatched_shares({"large": 200, "small": 50}, 100)
    assert abs(shares["small"] - 20) <= 2


def test_full_queue_makes_room_for_a_team_below_its_share() -> None:
    """Guards against a queue that one team fills for all others."""
    state = create_state(SPEC, *TEAMS.values())
    add_group(state, "a")
    reduce(state, LimitsConfigured(10, math.inf), 0.0)

    def arrive(request_id: str, team: str) -> list[Effect]:
        request = ModelRequest(request_id, team, 1, 5, SPEC.name, request_id)
        return reduce(state, RequestArrived(request), 0.0)

    for number in range(14):
        assert not any(
            isinstance(effect, FailRequest) for effect in arrive(f"l{number}", "large")
        )
    refused = [
        effect.request_id
        for request_id, team in (("l14", "large"), ("s0", "small"))
        for effect in arrive(request_id, team)
        if isinstance(effect, FailRequest)
    ]
    assert refused == ["l14", "l13"]
    assert "s0" in state.limits.queued


def test_team_rate_is_shared_by_the_live_nodes() -> None:
    """Guards against a limit that is multiplied by the number of nodes."""
    team = Team(name="agronomy", labels={"org": "takeshima"}, requests_per_s=12.0)
    state = create_state(SPEC, team)
    for number in range(2, 7):
        node = Node(f"entry-{number}", "obihiro", "hokkaido", "i", "ws://x")
        state.membership.peers[node.node] = PeerState(node, 0.0)
    add_group(state, "a")
    accepted = 0
    for number in range(200):
        now_s = number * 0.05
        report_serving(state, state.groups.groups["a"], now_s)
        request = ModelRequest(f"r{number}", team.name, 1, 5, SPEC.name, f"r{number}")
        effects = reduce(state, RequestArrived(request), now_s)
        if any(isinstance(effect, StartAttempt) for effect in effects):
            accepted += 1
            reduce(state, RequestFinished(request.request_id), now_s)
    assert 19 <= accepted <= 22


def test_retry_budget_has_a_minimum_and_a_share() -> None:
    """Guards against retries that multiply the load during an outage."""
    state = LimitsState()
    assert [consume_retry(state, 0.0) for _ in range(4)] == [True, True, True, False]
    for number in range(100):
        record_request(state, number / 100)
    assert sum(consume_retry(state, 1.0) for _ in range(20)) == 7
    assert consume_retry(state, 20.0)
