"""Turns messages of other processes into events; used by all programs."""

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
class _Reported:
    """The last full report about each VM on a link, by its number."""

    by_ref: dict[int, tuple[str, MemberHealth | None]] = field(default_factory=dict)
    ref_of_vm: dict[str, int] = field(default_factory=dict)

    def add(self, report: MemberReport) -> None:
        """Keep a report and drop the earlier one, to which no later digest refers."""
        self.by_ref.pop(self.ref_of_vm.get(report.vm, 0), None)
        self.ref_of_vm[report.vm] = report.ref
        self.by_ref[report.ref] = (report.vm, report.health)


def subscribe(
    ctx: ProgramContext, hub: LinkHub
) -> Callable[[Link, EvidenceDigest], None]:
    """Apply received evidence and group views; return the handler of digests."""
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
    """Date the reports of digests and complete those that repeat an earlier one."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reported: WeakKeyDictionary[Link, _Reported] = WeakKeyDictionary()

    def read(self, link: Link, digest: EvidenceDigest) -> tuple[Evidence, ...]:
        """Return the reports on the local clock; none when the echo proves nothing."""
        reported = self._reported.setdefault(link, _Reported())
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
            known = reported.by_ref.get(repeat.ref)
            if known is not None:
                observed_at_s = echoed_s - repeat.age_ms / 1000
                health = _with_load(known[1], repeat)
                evidence.append(Evidence(known[0], health, observed_at_s))
        return tuple(evidence)


def _with_load(
    health: MemberHealth | None, repeat: RepeatedReport
) -> MemberHealth | None:
    if health is None or (health.active, health.queued) == repeat[2:]:
        return health
    return replace(health, active=repeat.active, queued=repeat.queued)
