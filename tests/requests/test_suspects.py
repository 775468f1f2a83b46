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
from tests.routing.common import (
    SPEC,
    add_group,
    create_state,
    report_serving,
    report_unresponsive,
)


@dataclass
class Node:
    """An entry process with a simulated clock that records the effects."""

    state: State = field(default_factory=create_state)
    now_s: float = 0.0
    number: int = 0
    groups: dict[str, str] = field(default_factory=dict)
    reports: list[ReportSuspect] = field(default_factory=list)
    failed: dict[str, FailRequest] = field(default_factory=dict)

    def send(self, event: Event) -> list[Effect]:
        """Apply an event and record its effects."""
        effects = reduce(self.state, event, self.now_s)
        for effect in effects:
            if isinstance(effect, StartAttempt):
                self.groups[effect.request_id] = effect.target.group
            elif isinstance(effect, FailRequest):
                self.failed[effect.request_id] = effect
            elif isinstance(effect, ReportSuspect):
                self.reports.append(effect)
        return effects

    def arrive(self, fingerprint: str, blocks: tuple[str, ...] = ()) -> str:
        """Dispatch the arrival of a request and return its id."""
        self.number += 1
        request_id = f"r{self.number}"
        request = ModelRequest(
            request_id, "agronomy", 1, 5, SPEC.name, fingerprint, blocks=blocks
        )
        self.send(RequestArrived(request))
        return request_id

    def tick(self, step_s: float = 0.5) -> None:
        """Advance the clock; groups of responsive members keep reporting."""
        self.now_s += step_s
        for group in self.state.groups.groups.values():
            responsive = all(
                self.state.membership.evidence[member.vm].health is not None
                for member in group.members
            )
            if responsive:
                report_serving(self.state, group, self.now_s)
        self.send(Tick())

    def crash(self, name: str) -> None:
        """Crash the second member of a group and break the group's streams."""
        group = self.state.groups.groups[name]
        report_unresponsive(self.state, group.members[1].vm, self.now_s)
        self.break_streams(name)
        for _ in range(5):
            self.tick()

    def break_streams(self, name: str) -> None:
        """Break all streams of a group after their first content."""
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


def test_crashing_request_is_refused_after_two_crashes() -> None:
    """A request that crashes servers must not crash all groups."""
    node = create_node("a", "b", "c")
    for _ in range(2):
        request_id = node.arrive("crashing")
        node.crash(node.groups[request_id])
    refused = node.arrive("crashing")
    assert refused not in node.groups
    failure = node.failed[refused].failure
    assert (failure.status, failure.code) == (422, "request_crashes_servers")
    assert failure.ran is Executed.UNKNOWN
    assert len(node.reports) == 2


def test_different_requests_with_a_crashing_prefix_are_refused() -> None:
    """Guards against servers that crash one after the other.

    No two of the requests are alike, but all have a block of the prompt in common. The
    block before it is sound.
    """
    node = create_node("a", "b", "c", "d")
    for number in range(2):
        request_id = node.arrive(f"crashing {number}", ("sound", "bad"))
        node.crash(node.groups[request_id])
    assert node.arrive("sound", ("sound",)) in node.groups
    assert node.arrive("crashing again", ("sound", "bad")) not in node.groups


def test_failed_probes_after_a_crash_do_not_clear_it() -> None:
    """Each failed probe has a new date; it must not count as a response."""
    node = create_node("a", "b")
    request_id = node.arrive("crashing")
    group = node.state.groups.groups[node.groups[request_id]]
    node.break_streams(group.group)
    for _ in range(3):
        report_serving(node.state, group, node.now_s)
        report_unresponsive(node.state, group.members[1].vm, node.now_s)
        for _ in range(2):
            node.tick()
    assert [item.vm for item in node.reports] == [group.members[1].vm]


def test_harmless_request_at_one_crash_is_served() -> None:
    """Requests that only shared a group with the crashing one must still be served."""
    node = create_node("a", "b", "c", "d")
    crashing = node.arrive("crashing")
    name = node.groups[crashing]
    for other in ("b", "c", "d", "a"):
        if other != name:
            report_serving(node.state, node.state.groups.groups[other], 0.0, active=3)
    harmless = node.arrive("harmless")
    assert node.groups[harmless] == name
    node.crash(name)
    assert is_suspect(node.state, "harmless")
    crashing = node.arrive("crashing")
    harmless = node.arrive("harmless")
    assert node.groups[crashing] != node.groups[harmless]
    node.send(RequestFinished(harmless))
    node.crash(node.groups[crashing])
    assert is_refused(node.state, "crashing")
    assert not is_refused(node.state, "harmless")
    assert not is_suspect(node.state, "harmless")


def test_suspect_waits_while_other_suspects_occupy_all_groups() -> None:
    """A crash of a group with two suspects would count against the harmless one."""
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
    """Copies of a crashing request in several groups would crash them all."""
    node = create_node("a", "b", "c")
    copies = [node.arrive("same") for _ in range(3)]
    assert len({node.groups[request_id] for request_id in copies}) == 1


def test_second_report_cancels_copies_in_flight() -> None:
    """A copy that still runs could crash a third group."""
    node = create_node("a", "b")
    running = node.arrive("crashing")
    node.send(SuspectReported("crashing", "far-vm1", "boot1", 1.0))
    assert running not in node.failed
    node.send(SuspectReported("crashing", "far-vm1", "boot1", 1.0))
    assert running not in node.failed
    node.send(SuspectReported("crashing", "far-vm2", "boot2", 0.5))
    assert node.failed[running].failure.code == "request_crashes_servers"


def test_failing_probes_confirm_a_crash() -> None:
    """The new date of each failed probe must not hide that the member crashed."""
    node = create_node("a", "b")
    request_id = node.arrive("crashing")
    group = node.state.groups.groups[node.groups[request_id]]
    responses = tuple(
        node.state.membership.evidence[member.vm] for member in group.members
    )
    node.now_s = 0.1
    node.send(
        EvidenceReceived(tuple(replace(item, observed_at_s=0.1) for item in responses))
    )
    node.break_streams(group.group)
    for _ in range(4):
        node.now_s += 1.0
        lost = Evidence(group.leader.vm, None, node.now_s)
        other = replace(responses[1], observed_at_s=node.now_s)
        node.send(EvidenceReceived((lost, other)))
        node.send(Tick())
    assert [report.vm for report in node.reports] == [group.leader.vm]


def test_one_crash_of_a_group_counts_once() -> None:
    """Reports of different members of a group that failed together must count once."""
    node = create_node("a", "b")
    group = node.state.groups.groups["a"]
    for member in group.members:
        node.send(SuspectReported("same", member.vm, member.boot_id, 0.0))
    assert not is_refused(node.state, "same")


def test_broken_stream_without_a_crash_makes_no_suspect() -> None:
    """A network fault must not make requests suspects."""
    node = create_node("a", "b")
    request_id = node.arrive("harmless")
    node.break_streams(node.groups[request_id])
    for _ in range(6):
        node.tick()
    assert node.reports == []
    assert not is_suspect(node.state, "harmless")


def test_one_missed_probe_is_no_crash() -> None:
    """A slow probe beside a broken stream must not count as a crash."""
    node = create_node("a", "b")
    request_id = node.arrive("harmless")
    group = node.state.groups.groups[node.groups[request_id]]
    report_unresponsive(node.state, group.members[1].vm, node.now_s)
    node.break_streams(group.group)
    node.tick(1.0)
    report_serving(node.state, group, node.now_s)
    for _ in range(6):
        node.tick()
    assert node.reports == []


def test_healed_partition_clears_its_suspects() -> None:
    """Requests cut off by a network partition must not stay suspects after it."""
    node = create_node("a", "b")
    request_id = node.arrive("harmless")
    name = node.groups[request_id]
    node.crash(name)
    assert is_suspect(node.state, "harmless")
    report_serving(node.state, node.state.groups.groups[name], node.now_s + 0.1)
    node.tick()
    assert not is_suspect(node.state, "harmless")


def test_restarted_member_is_a_crash() -> None:
    """A restart between two probes must count although no probe fails."""
    node = create_node("a", "b")
    request_id = node.arrive("crashing")
    name = node.groups[request_id]
    node.break_streams(name)
    node.form_again(name)
    node.tick()
    assert len(node.reports) == 1


def test_suspects_expire_and_are_bounded() -> None:
    """A request that no longer crashes must be served, and memory must be bounded."""
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
    """Immediate retries must not crash a third group before probes show the crashes."""
    node = create_node("a", "b", "c", "d")
    request_id = node.arrive("crashing")
    for _ in range(4):
        name = node.groups[request_id]
        if node.state.membership.evidence[f"{name}-vm1"].health is None:
            break
        report_unresponsive(node.state, f"{name}-vm1", node.now_s)
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


def test_request_fails_after_the_crash_is_recorded() -> None:
    """Another node must know the crash when a caller resends there at once."""
    node = create_node("a", "b")
    request_id = node.arrive("crashing")
    name = node.groups[request_id]
    report_unresponsive(
        node.state, node.state.groups.groups[name].members[1].vm, node.now_s
    )
    node.break_streams(name)
    assert request_id not in node.failed
    for _ in range(6):
        node.tick()
    assert node.reports
    assert request_id in node.failed
