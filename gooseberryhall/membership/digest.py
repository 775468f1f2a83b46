"""Builds the evidence digests that are sent on links."""

import itertools
import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace
from weakref import WeakKeyDictionary

from ..core.clock import now_s
from ..links.link import Link
from ..links.messages import EvidenceDigest, MemberReport, RepeatedReport
from .const import DIGEST_MAX_AGE_S, DIGEST_MAX_REPORTS
from .models import Evidence, MemberHealth

EvidenceByVm = Mapping[str, Evidence]


@dataclass(slots=True)
class _SentReports:
    """The last report about each VM that was sent on a link, with its number."""

    refs: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    reports: dict[str, tuple[int, Evidence]] = field(default_factory=dict)


class DigestSender:
    """Send on each link the evidence that changed since the link's last digest.

    A report that differs from the last one only in age and load is sent as a few
    numbers, which keeps the traffic nearly independent of the number of VMs.
    """

    def __init__(self) -> None:
        """Create a sender without sent reports."""
        self._sent: WeakKeyDictionary[Link, _SentReports] = WeakKeyDictionary()

    def async_send(self, link: Link, evidence: EvidenceByVm) -> None:
        """Send all changed evidence on a link, in as many digests as needed."""
        while (digest := self.next_digest(link, evidence)) is not None:
            if not link.async_send(digest):
                return

    def next_digest(self, link: Link, evidence: EvidenceByVm) -> EvidenceDigest | None:
        """Return the next digest, which the caller must send; None without changes."""
        # The receiver can date evidence only by the echo of one of its pings.
        if not link.last_ping_received:
            return None
        sent = self._sent.setdefault(link, _SentReports())
        if len(sent.reports) > len(evidence):
            for vm in sent.reports.keys() - evidence.keys():
                del sent.reports[vm]
        changed = list(
            itertools.islice(_changed_evidence(sent, evidence), DIGEST_MAX_REPORTS)
        )
        return _digest(link.last_ping_received, sent, changed) if changed else None


def _changed_evidence(sent: _SentReports, evidence: EvidenceByVm) -> Iterator[Evidence]:
    oldest_s = now_s() - DIGEST_MAX_AGE_S
    for vm, item in evidence.items():
        last = sent.reports.get(vm)
        if (last is None or last[1] is not item) and item.observed_at_s >= oldest_s:
            yield item


def _digest(echo: int, sent: _SentReports, changed: list[Evidence]) -> EvidenceDigest:
    # Ages and echo must belong to the same moment; ages from before the echo would make
    # the evidence look newer than it is.
    time_s = now_s()
    reports, repeats = [], []
    for item in changed:
        age_ms = max(0, math.ceil((time_s - item.observed_at_s) * 1000))
        last = sent.reports.get(item.vm)
        if last is not None and _is_repeated(last[1].health, item.health):
            ref = last[0]
            repeats.append(_repeated_report(ref, age_ms, item.health))
        else:
            ref = next(sent.refs)
            reports.append(
                MemberReport(ref=ref, vm=item.vm, health=item.health, age_ms=age_ms)
            )
        sent.reports[item.vm] = (ref, item)
    return EvidenceDigest(echo=echo, reports=tuple(reports), repeats=tuple(repeats))


def _is_repeated(last: MemberHealth | None, new: MemberHealth | None) -> bool:
    if last is None or new is None:
        return last is new
    if (last.active, last.queued) != (new.active, new.queued):
        new = replace(new, active=last.active, queued=last.queued)
    return last == new


def _repeated_report(
    ref: int, age_ms: int, health: MemberHealth | None
) -> RepeatedReport:
    if health is None:
        return RepeatedReport(ref, age_ms)
    return RepeatedReport(ref, age_ms, health.active, health.queued)
