"""Tests that no order of reports makes a stopped or restarted member look healthy."""

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
    """Return the health response of a serving member."""
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
class MemberTruth:
    """Actual state of a member, and the newest boot that was reported."""

    boot: int = FIRST_BOOT
    running: bool = True
    stopped_s: float | None = None
    newest_boot_reported: int = FIRST_BOOT


@dataclass
class PendingReport:
    """A probe result that is not delivered yet, dated no later than the response."""

    evidence: Evidence
    boot: int | None = None


@dataclass
class Simulation:
    """The members, the pending reports and the state of the receiver."""

    now_s: float = START_S
    truth: dict[str, MemberTruth] = field(
        default_factory=lambda: {vm: MemberTruth() for vm in VMS}
    )
    state: State = field(default_factory=lambda: State(Identity("a", "z1", "r1")))
    reports: list[PendingReport] = field(default_factory=list)


class EvidenceOrderMachine(RuleBasedStateMachine):
    """Members stop and restart while reports are late, repeated or lost."""

    def __init__(self) -> None:
        """Create a simulation in which all members serve."""
        super().__init__()
        self.simulation = Simulation()

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 3.1]))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.simulation.now_s += seconds

    @rule(vm=st.sampled_from(VMS), uncertainty_s=st.sampled_from([0.0, 0.2, 0.6, 1.4]))
    def probe(self, vm: str, uncertainty_s: float) -> None:
        """Probe a member; the receiver dates the result early by the uncertainty."""
        truth = self.simulation.truth[vm]
        response = health(vm, truth.boot) if truth.running else None
        evidence = Evidence(vm, response, self.simulation.now_s - uncertainty_s)
        self.simulation.reports.append(
            PendingReport(evidence, truth.boot if response else None)
        )

    @precondition(lambda self: self.simulation.reports)
    @rule(data=st.data(), repeat=st.booleans())
    def deliver(self, data: st.DataObject, repeat: bool) -> None:
        """Deliver a pending report in any order; others may be lost or repeated."""
        index = data.draw(st.integers(0, len(self.simulation.reports) - 1))
        report = self.simulation.reports[index]
        if not repeat:
            del self.simulation.reports[index]
        event = EvidenceReceived((report.evidence,))
        reduce(self.simulation.state, event, self.simulation.now_s)
        if report.boot is not None:
            truth = self.simulation.truth[report.evidence.vm]
            truth.newest_boot_reported = max(truth.newest_boot_reported, report.boot)

    @rule(vm=st.sampled_from(VMS))
    def stop(self, vm: str) -> None:
        """Stop a member."""
        truth = self.simulation.truth[vm]
        truth.running = False
        if truth.stopped_s is None:
            truth.stopped_s = self.simulation.now_s

    @rule(vm=st.sampled_from(VMS))
    def restart(self, vm: str) -> None:
        """Restart a member with empty memory."""
        self.stop(vm)
        truth = self.simulation.truth[vm]
        truth.running = True
        truth.boot += 1

    @invariant()
    def group_closes_after_a_stop_or_restart(self) -> None:
        """Check that a group closes 3.0 s after a stop, or once a restart is known."""
        simulation = self.simulation
        evidence = simulation.state.membership.evidence
        if group_closed_reason(group(), evidence, simulation.now_s) is not None:
            return
        for truth in simulation.truth.values():
            assert truth.newest_boot_reported == FIRST_BOOT
            if truth.stopped_s is not None:
                assert simulation.now_s - truth.stopped_s <= EVIDENCE_MAX_AGE_S


TestEvidenceOrder = EvidenceOrderMachine.TestCase
TestEvidenceOrder.settings = settings(
    max_examples=1000, stateful_step_count=25, deadline=None
)


def test_failure_closes_group_although_dated_earlier() -> None:
    """A failed probe must close the group at once, even if its link dates it early."""
    state = State(Identity("a", "z1", "r1"))
    responses = tuple(Evidence(vm, health(vm, FIRST_BOOT), 10.0) for vm in VMS)
    reduce(state, EvidenceReceived(responses), 10.1)
    assert group_closed_reason(group(), state.membership.evidence, 10.1) is None
    reduce(state, EvidenceReceived((Evidence(VMS[0], None, 9.8),)), 10.6)
    assert group_closed_reason(group(), state.membership.evidence, 10.6) is not None
    # A copy of the earlier response does not open the group, a newer response does.
    reduce(state, EvidenceReceived(responses), 10.7)
    assert group_closed_reason(group(), state.membership.evidence, 10.7) is not None
    newer = Evidence(VMS[0], health(VMS[0], FIRST_BOOT), 10.8)
    reduce(state, EvidenceReceived((newer,)), 10.9)
    assert group_closed_reason(group(), state.membership.evidence, 10.9) is None
