"""Converts messages of other processes to events; used by all programs."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from weakref import WeakKeyDictionary

from ..core.context import ProgramContext
from ..groups.events import GroupViewReceived
from ..links.hub import LinkHub
from ..links.link import Link
from ..links.messages import EvidenceDigest, GroupView, MemberReport, RepeatedReport
from .events import EvidenceReceived
from .models import Evidence, MemberHealth


@dataclass(slots=True)
class _ReceivedReports:
    """The last full report about each VM on a link, by its reference number."""

    by_ref: dict[int, tuple[str, MemberHealth | None]] = field(default_factory=dict)
    ref_of_vm: dict[str, int] = field(default_factory=dict)

    def add(self, report: MemberReport) -> None:
        """Store a report and drop the earlier one, which no later digest refers to."""
        self.by_ref.pop(self.ref_of_vm.get(report.vm, 0), None)
        self.ref_of_vm[report.vm] = report.ref
        self.by_ref[report.ref] = (report.vm, report.health)


def subscribe(
    ctx: ProgramContext, hub: LinkHub
) -> Callable[[Link, EvidenceDigest], None]:
    """Dispatch received evidence and group views; return the digest handler."""
    reader = DigestReader()

    def on_digest(link: Link, digest: EvidenceDigest) -> None:
        evidence = reader.read(link, digest)
        if evidence:
            ctx.runtime.async_dispatch(EvidenceReceived(evidence))

    def on_view(_link: Link, view: GroupView) -> None:
        ctx.runtime.async_dispatch(
            GroupViewReceived(view.zone, view.revision, view.groups)
        )

    hub.subscribe(EvidenceDigest, on_digest)
    hub.subscribe(GroupView, on_view)
    return on_digest


class DigestReader:
    """Date the reports in digests and restore those sent as repeats of earlier ones."""

    def __init__(self) -> None:
        """Create a reader without earlier reports."""
        self._reported: WeakKeyDictionary[Link, _ReceivedReports] = WeakKeyDictionary()

    def read(self, link: Link, digest: EvidenceDigest) -> tuple[Evidence, ...]:
        """Return the reports as evidence dated on the local clock.

        Returns an empty tuple when the echo gives no bound for their date.
        """
        reported = self._reported.setdefault(link, _ReceivedReports())
        for report in digest.reports:
            reported.add(report)
        echoed_s = link.evidence_time_s(digest.echo, 0)
        if echoed_s is None:
            return ()
        evidence = [
            Evidence(report.vm, report.health, echoed_s - report.age_ms / 1000)
            for report in digest.reports
        ]
        for repeat in digest.repeats:
            earlier = reported.by_ref.get(repeat.ref)
            if earlier is not None:
                observed_at_s = echoed_s - repeat.age_ms / 1000
                health = _with_load(earlier[1], repeat)
                evidence.append(Evidence(earlier[0], health, observed_at_s))
        return tuple(evidence)


def _with_load(
    health: MemberHealth | None, repeat: RepeatedReport
) -> MemberHealth | None:
    if health is None or (health.active, health.queued) == repeat[2:]:
        return health
    return replace(health, active=repeat.active, queued=repeat.queued)
