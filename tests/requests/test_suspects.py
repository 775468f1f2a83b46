"""Tests of requests that were in flight when servers crashed."""

from dataclasses import dataclass, field, replace

from gooseberryhall.core.effects import Effect
from gooseberryhall.core.events import Event, Tick
from gooseberryhall.core.reducer import reduce
from gooseberryhall.core.state import State
from gooseberryhall.exceptions import Executed
from gooseberryhall.groups.models import Group
from gooseberryhall.membership.events import EvidenceReceived
from gooseberryhall.membership.models import Evidence
from gooseberryhall.requests.const import MAX_SUSPECTS, SUSPECT_LIFETIME_S
from gooseberryhall.requests.effects import FailRequest, ReportSuspect, StartAttempt
from gooseberryhall.requests.events import (
    FirstContent,
    RequestArrived,
    RequestFinished,
    StreamBroken,
    SuspectReported,
)
from gooseberryhall.requests.models import BreakReason, ModelRequest
from gooseberryhall.requests.suspects import is_refused, is_suspect, record_crash
from tests.routing.common import SPEC, add_group, create_state, lose, report_serving


@dataclass
class Node:
    """An entry process that follows its effects, with a clock of its own."""

    state: State = field(default_factory=create_state)
    now_s: float = 0.0
    number: int = 0
    groups: dict[str, str] = field(default_factory=dict)
    reports: list[ReportSuspect] = field(default_factory=list)
    failed: dict[str, FailRequest] = field(default_factory=dict)

    def send(self, event: Event) -> list[Effect]:
        """Apply an event and note where requests run."""
        effects = reduce(self.state, event, self.now_s)
        for effect in effects:
            if isinstance(effect, StartAttempt):
                self.groups[effect.request_id] = effect.target.group
            elif isinstance(effect, FailRequest):
                self.failed[effect.request_id] = effect
            elif isinstance(effect, ReportSuspect):
                self.reports.append(effect)
        return effects

    def arrive(self, fingerprint: str) -> str:
        """Let a request arrive and return its id."""
        self.number += 1
        request_id = f"r{self.number}"
        request = ModelRequest(request_id, "agronomy", 1, 5, SPEC.name, fingerprint)
        self.send(RequestArrived(request))
        return request_id

    def tick(self, step_s: float = 0.5) -> None:
        """Let time pass; members that answer go on answering."""
        self.now_s += step_s
        for group in self.state.groups.groups.values():
            answering = all(
                self.state.membership.evidence[member.vm].health is not None
                for member in group.members
            )
            if answering:
                report_serving(self.state, group, self.now_s)
        self.send(Tick())

    def crash(self, name: str) -> None:
        """Crash the second member of a group, which breaks its streams."""
        group = self.state.groups.groups[name]
        lose(self.state, group.members[1].vm, self.now_s)
        self.break_streams(name)
        for _ in range(5):
            self.tick()

    def break_streams(self, name: str) -> None:
        """Break all streams of a group after content was passed on."""
        for request_id, group in list(self.groups.items()):
            if group == name and request_id in self.state.requests.active:
                self.send(FirstContent(request_id))
                for _ in range(3):
                    broken = StreamBroken(request_id, BreakReason.BROKEN, "")
                    self.send(broken)

    def form_again(self, name: str) -> Group:
        """Form a group again with restarted members."""
        generation = self.state.groups.groups[name].generation + 1
        return add_group(self.state, name, generation=generation, now_s=self.now_s)


def create_node(*names: str) -> Node:
    """Return a node with open groups."""
    node = Node()
    for name in names:
        add_group(node.state, name)
    return node


def test_guilty_request_is_refused_after_two_crashes() -> None:
    """A request that crashes servers must not take down all groups."""
    node = create_node("a", "b", "c")
    for _ in range(2):
        request_id = node.arrive("guilty")
        node.crash(node.groups[request_id])
    refused = node.arrive("guilty")
    assert refused not in node.groups
    failure = node.failed[refused].failure
    assert (failure.status, failure.code) == (422, "request_crashes_servers")
    assert failure.ran is Executed.UNKNOWN
    assert len(node.reports) == 2


def test_failed_probes_after_a_crash_do_not_clear_it() -> None:
    """Each failed probe has a new date; it must not count as an answer."""
    node = create_node("a", "b")
    request_id = node.arrive("guilty")
    group = node.state.groups.groups[node.groups[request_id]]
    node.break_streams(group.group)
    for _ in range(3):
        report_serving(node.state, group, node.now_s)
        lose(node.state, group.members[1].vm, node.now_s)
        for _ in range(2):
            node.tick()
    assert [item.vm for item in node.reports] == [group.members[1].vm]


def test_innocent_request_at_one_crash_is_served() -> None:
    """Requests that only shared a group with the guilty one must still be served."""
    node = create_node("a", "b", "c", "d")
    guilty = node.arrive("guilty")
    name = node.groups[guilty]
    for other in ("b", "c", "d", "a"):
        if other != name:
            report_serving(node.state, node.state.groups.groups[other], 0.0, active=3)
    innocent = node.arrive("innocent")
    assert node.groups[innocent] == name
    node.crash(name)
    assert is_suspect(node.state, "innocent")
    guilty = node.arrive("guilty")
    innocent = node.arrive("innocent")
    assert node.groups[guilty] != node.groups[innocent]
    node.send(RequestFinished(innocent))
    node.crash(node.groups[guilty])
    assert is_refused(node.state, "guilty")
    assert not is_refused(node.state, "innocent")
    assert not is_suspect(node.state, "innocent")


def test_suspect_waits_while_other_suspects_hold_all_groups() -> None:
    """Two suspects in one group would make the innocent one look guilty."""
    node = create_node("a")
    for fingerprint in ("x", "y"):
        record_crash(node.state, fingerprint, "vm", "boot", 0.0)
    first, second = node.arrive("x"), node.arrive("y")
    plain = node.arrive("z")
    assert first in node.groups
    assert plain in node.groups
    assert second not in node.groups
    node.send(RequestFinished(first))
    assert second in node.groups


def test_copies_go_to_one_group_at_a_time() -> None:
    """Copies of a guilty request spread over groups would crash them all."""
    node = create_node("a", "b", "c")
    copies = [node.arrive("same") for _ in range(3)]
    assert len({node.groups[request_id] for request_id in copies}) == 1


def test_second_report_cancels_copies_in_flight() -> None:
    """A copy that still runs would crash a third group."""
    node = create_node("a", "b")
    running = node.arrive("guilty")
    node.send(SuspectReported("guilty", "far-vm1", "boot1", 1.0))
    assert running not in node.failed
    node.send(SuspectReported("guilty", "far-vm1", "boot1", 1.0))
    assert running not in node.failed
    node.send(SuspectReported("guilty", "far-vm2", "boot2", 0.5))
    assert node.failed[running].failure.code == "request_crashes_servers"


def test_failing_probes_confirm_a_crash() -> None:
    """Each failed probe is dated now and must not hide that the member is silent."""
    node = create_node("a", "b")
    request_id = node.arrive("guilty")
    group = node.state.groups.groups[node.groups[request_id]]
    answers = tuple(
        node.state.membership.evidence[member.vm] for member in group.members
    )
    node.now_s = 0.1
    node.send(
        EvidenceReceived(tuple(replace(item, observed_at_s=0.1) for item in answers))
    )
    node.break_streams(group.group)
    for _ in range(4):
        node.now_s += 1.0
        lost = Evidence(group.leader.vm, None, node.now_s)
        other = replace(answers[1], observed_at_s=node.now_s)
        node.send(EvidenceReceived((lost, other)))
        node.send(Tick())
    assert [report.vm for report in node.reports] == [group.leader.vm]


def test_one_incident_counts_once() -> None:
    """All members of a group can fail together, and nodes can name different ones."""
    node = create_node("a", "b")
    group = node.state.groups.groups["a"]
    for member in group.members:
        node.send(SuspectReported("same", member.vm, member.boot_id, 0.0))
    assert not is_refused(node.state, "same")


def test_broken_stream_without_a_crash_is_no_suspicion() -> None:
    """A network fault must not make requests suspects."""
    node = create_node("a", "b")
    request_id = node.arrive("innocent")
    node.break_streams(node.groups[request_id])
    for _ in range(6):
        node.tick()
    assert node.reports == []
    assert not is_suspect(node.state, "innocent")


def test_one_missed_probe_is_no_crash() -> None:
    """A slow probe beside a broken stream must not count as a crash."""
    node = create_node("a", "b")
    request_id = node.arrive("innocent")
    group = node.state.groups.groups[node.groups[request_id]]
    lose(node.state, group.members[1].vm, node.now_s)
    node.break_streams(group.group)
    node.tick(1.0)
    report_serving(node.state, group, node.now_s)
    for _ in range(6):
        node.tick()
    assert node.reports == []


def test_member_behind_a_partition_is_no_crash_in_the_end() -> None:
    """Requests cut off by a partition must not stay suspects when it heals."""
    node = create_node("a", "b")
    request_id = node.arrive("innocent")
    name = node.groups[request_id]
    node.crash(name)
    assert is_suspect(node.state, "innocent")
    report_serving(node.state, node.state.groups.groups[name], node.now_s + 0.1)
    node.tick()
    assert not is_suspect(node.state, "innocent")


def test_restarted_member_is_a_crash() -> None:
    """An engine that restarts between two probes never misses one."""
    node = create_node("a", "b")
    request_id = node.arrive("guilty")
    name = node.groups[request_id]
    node.break_streams(name)
    node.form_again(name)
    node.tick()
    assert len(node.reports) == 1


def test_suspicion_expires_and_the_table_is_bounded() -> None:
    """A repaired request must be served again, and memory must stay bounded."""
    node = create_node("a")
    for number in range(MAX_SUSPECTS + 10):
        record_crash(node.state, f"f{number}", "vm", f"boot{number % 7}", 0.0)
    suspects = node.state.requests.suspects
    assert len(suspects.suspects) == MAX_SUSPECTS
    assert "f0" not in suspects.suspects
    node.tick(SUSPECT_LIFETIME_S)
    assert not suspects.suspects
    assert not suspects.crashes


def test_retries_do_not_crash_further_groups_before_confirmation() -> None:
    """Immediate retries must not take down a third group while probes are under way."""
    node = create_node("a", "b", "c", "d")
    request_id = node.arrive("guilty")
    for _ in range(4):
        name = node.groups[request_id]
        if node.state.membership.evidence[f"{name}-vm1"].health is None:
            break
        lose(node.state, f"{name}-vm1", node.now_s)
        for _ in range(3):
            node.send(StreamBroken(request_id, BreakReason.BROKEN, ""))
    crashed = [
        group.group
        for group in node.state.groups.groups.values()
        if node.state.membership.evidence[group.members[1].vm].health is None
    ]
    assert len(crashed) == 2
    for _ in range(6):
        node.tick()
    assert node.failed[request_id].failure.code == "request_crashes_servers"


def test_caller_is_told_after_the_crash_is_recorded() -> None:
    """A caller that resends at once through another node must find the suspicion."""
    node = create_node("a", "b")
    request_id = node.arrive("guilty")
    name = node.groups[request_id]
    lose(node.state, node.state.groups.groups[name].members[1].vm, node.now_s)
    node.break_streams(name)
    assert request_id not in node.failed
    for _ in range(6):
        node.tick()
    assert node.reports
    assert request_id in node.failed
