"""Turns messages of other processes into events; used by all programs."""

from ..core.context import ProgramContext
from ..groups.events import GroupViewReceived
from ..links.hub import LinkHub
from ..links.link import Link
from ..links.messages import EvidenceDigest, GroupView
from .events import EvidenceReceived
from .models import Evidence


def subscribe(ctx: ProgramContext, hub: LinkHub) -> None:
    """Apply received evidence and group views."""

    def on_digest(link: Link, digest: EvidenceDigest) -> None:
        evidence = dated_evidence(link, digest)
        if evidence:
            ctx.runtime.async_dispatch(EvidenceReceived(evidence))

    def on_view(_link: Link, view: GroupView) -> None:
        ctx.runtime.async_dispatch(
            GroupViewReceived(view.zone, view.revision, view.groups)
        )

    hub.subscribe(EvidenceDigest, on_digest)
    hub.subscribe(GroupView, on_view)


def dated_evidence(link: Link, digest: EvidenceDigest) -> tuple[Evidence, ...]:
    """Return the reports on the local clock; none when the echo proves nothing."""
    echoed_s = link.evidence_time_s(digest.echo, 0)
    if echoed_s is None:
        return ()
    return tuple(
        Evidence(report.vm, report.health, echoed_s - report.age_ms / 1000)
        for report in digest.reports
    )
