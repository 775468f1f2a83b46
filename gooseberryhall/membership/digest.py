"""Sends evidence on links."""

import math
from collections.abc import Iterable, Mapping
from weakref import WeakKeyDictionary

from ..core.clock import now_s
from ..links.link import Link
from ..links.messages import EvidenceDigest, MemberReport
from .const import DIGEST_MAX_AGE_S, DIGEST_MAX_REPORTS
from .models import Evidence

EvidenceByVm = Mapping[str, Evidence]


class DigestSender:
    """Send on each link what changed since the last digest on that link."""

    def __init__(self) -> None:
        """Remember nothing as sent."""
        self._sent: WeakKeyDictionary[Link, dict[str, Evidence]] = WeakKeyDictionary()

    def async_send(self, links: Iterable[Link], evidence: EvidenceByVm) -> None:
        """Send new evidence on links."""
        for link in links:
            # Without a ping to echo, the other end could not date the evidence.
            if link.last_ping_received:
                self._send_on(link, evidence)

    def _send_on(self, link: Link, evidence: EvidenceByVm) -> None:
        sent = self._sent.setdefault(link, {})
        for vm in sent.keys() - evidence.keys():
            del sent[vm]
        oldest_s = now_s() - DIGEST_MAX_AGE_S
        new = [
            item
            for vm, item in evidence.items()
            if sent.get(vm) is not item and item.observed_at_s >= oldest_s
        ]
        for start in range(0, len(new), DIGEST_MAX_REPORTS):
            part = new[start : start + DIGEST_MAX_REPORTS]
            if not link.async_send(_digest(link.last_ping_received, part)):
                return
            sent.update((item.vm, item) for item in part)


def _digest(echo: int, evidence: Iterable[Evidence]) -> EvidenceDigest:
    # The ages and the echo are taken at one moment; a later echo with earlier ages
    # would make the evidence look newer than it is.
    time_s = now_s()
    reports = tuple(
        MemberReport(
            vm=item.vm,
            health=item.health,
            age_ms=max(0, math.ceil((time_s - item.observed_at_s) * 1000)),
        )
        for item in evidence
    )
    return EvidenceDigest(echo=echo, reports=reports)
