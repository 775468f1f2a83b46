"""Tests that no order of reports makes a dead or restarted member look alive."""

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from gooseberryhall.const import EVIDENCE_MAX_AGE_S
from gooseberryhall.core.reducer import reduce
from gooseberryhall.core.state import Identity, State
from gooseberryhall.groups.models import Group, GroupPhase, Member
from gooseberryhall.membership.events import EvidenceReceived
from gooseberryhall.membership.evidence import group_closed_reason
from gooseberryhall.membership.models import Evidence, MemberHealth, MemberState

VMS = ("vm-1",)
FIRST_BOOT = 1
START_S = 100.0


def health(vm: str, boot: int) -> MemberHealth:
    """Return the answer of a serving member."""
    return MemberHealth(
        vm, f"boot-{boot}", "group-1", 7, MemberState.SERVING, False, 0, 0
    )


def group() -> Group:
    """Return a serving group of all VMs in their first boot."""
    members = tuple(Member(vm, f"boot-{FIRST_BOOT}", f"http://{vm}:1") for vm in VMS)
    return Group(
        "group-1", "spec", "z1", "f1", "m", "v", 7, GroupPhase.SERVING, members
    )


@dataclass
class Truth:
    """What really happened to a member."""

    boot: int = FIRST_BOOT
    alive: bool = True
    ended_s: float | None = None
    newest_boot_reported: int = FIRST_BOOT


@dataclass
class Report:
    """A probe result on its way; `dated_s` is never later than the answer."""

    evidence: Evidence
    boot: int | None = None


@dataclass
class World:
    """The members, the reports on their way and the receiver."""

    now_s: float = START_S
    truth: dict[str, Truth] = field(default_factory=lambda: {vm: Truth() for vm in VMS})
    state: State = field(default_factory=lambda: State(Identity("a", "z1", "r1")))
    reports: list[Report] = field(default_factory=list)


class EvidenceOrder(RuleBasedStateMachine):
    """Members die and restart while reports are late, repeated or lost."""

    def __init__(self) -> None:
        """Create a world in which all members serve."""
        super().__init__()
        self.world = World()

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 3.1]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.world.now_s += seconds

    @rule(vm=st.sampled_from(VMS), doubt_s=st.sampled_from([0.0, 0.2, 0.6, 1.4]))
    def probe(self, vm: str, doubt_s: float) -> None:
        """Probe a member; the receiver dates the result early by the doubt."""
        truth = self.world.truth[vm]
        answer = health(vm, truth.boot) if truth.alive else None
        evidence = Evidence(vm, answer, self.world.now_s - doubt_s)
        self.world.reports.append(Report(evidence, truth.boot if answer else None))

    @precondition(lambda self: self.world.reports)
    @rule(data=st.data(), repeat=st.booleans())
    def deliver(self, data: st.DataObject, repeat: bool) -> None:
        """Deliver any report; others are late or lost, and it may arrive again."""
        index = data.draw(st.integers(0, len(self.world.reports) - 1))
        report = self.world.reports[index]
        if not repeat:
            del self.world.reports[index]
        event = EvidenceReceived((report.evidence,))
        reduce(self.world.state, event, self.world.now_s)
        if report.boot is not None:
            truth = self.world.truth[report.evidence.vm]
            truth.newest_boot_reported = max(truth.newest_boot_reported, report.boot)

    @rule(vm=st.sampled_from(VMS))
    def die(self, vm: str) -> None:
        """End a member."""
        truth = self.world.truth[vm]
        truth.alive = False
        if truth.ended_s is None:
            truth.ended_s = self.world.now_s

    @rule(vm=st.sampled_from(VMS))
    def restart(self, vm: str) -> None:
        """Start a member again with empty memory."""
        self.die(vm)
        truth = self.world.truth[vm]
        truth.alive = True
        truth.boot += 1

    @invariant()
    def dead_member_is_not_fresh(self) -> None:
        """Check that a group closes 3.0 s after an end, or once a restart is known."""
        world = self.world
        evidence = world.state.membership.evidence
        if group_closed_reason(group(), evidence, world.now_s) is not None:
            return
        for truth in world.truth.values():
            assert truth.newest_boot_reported == FIRST_BOOT
            if truth.ended_s is not None:
                assert world.now_s - truth.ended_s <= EVIDENCE_MAX_AGE_S


TestEvidenceOrder = EvidenceOrder.TestCase
TestEvidenceOrder.settings = settings(
    max_examples=1000, stateful_step_count=25, deadline=None
)


def test_failure_closes_group_although_dated_earlier() -> None:
    """A failed probe must count at once, also when its link dates it early."""
    state = State(Identity("a", "z1", "r1"))
    answers = tuple(Evidence(vm, health(vm, FIRST_BOOT), 10.0) for vm in VMS)
    reduce(state, EvidenceReceived(answers), 10.1)
    assert group_closed_reason(group(), state.membership.evidence, 10.1) is None
    reduce(state, EvidenceReceived((Evidence(VMS[0], None, 9.8),)), 10.6)
    assert group_closed_reason(group(), state.membership.evidence, 10.6) is not None
    # A copy of the earlier answer does not open the group, a newer answer does.
    reduce(state, EvidenceReceived(answers), 10.7)
    assert group_closed_reason(group(), state.membership.evidence, 10.7) is not None
    newer = Evidence(VMS[0], health(VMS[0], FIRST_BOOT), 10.8)
    reduce(state, EvidenceReceived((newer,)), 10.9)
    assert group_closed_reason(group(), state.membership.evidence, 10.9) is None
