"""Tests of the evidence digests between two processes."""

from dataclasses import dataclass, replace
from typing import cast

from gooseberryhall.core.clock import now_s
from gooseberryhall.links.codec import decode_message, encode_message
from gooseberryhall.links.link import Link
from gooseberryhall.links.messages import EvidenceDigest
from gooseberryhall.membership.digest import DigestSender
from gooseberryhall.membership.models import Evidence, MemberHealth, MemberState
from gooseberryhall.membership.receive import DigestReader

HEALTH = MemberHealth("vm-1", "boot-1", "g", 4, MemberState.SERVING, False, 1, 0)


@dataclass(eq=False)
class FakeLink:
    """A link on which all pings were sent at the current time."""

    last_ping_received: int = 1

    def evidence_time_s(self, _echo: int, age_ms: int) -> float:
        """Return the date of evidence on a link without delay."""
        return now_s() - age_ms / 1000


def exchange(
    sender: DigestSender, reader: DigestReader, link: Link, *evidence: Evidence
) -> tuple[EvidenceDigest | None, list[MemberHealth | None]]:
    """Return the next digest after encoding, and the health that its receiver reads."""
    digest = sender.next_digest(link, {item.vm: item for item in evidence})
    if digest is None:
        return None, []
    decoded = decode_message(encode_message(digest))
    assert isinstance(decoded, EvidenceDigest)
    return decoded, [item.health for item in reader.read(link, decoded)]


def test_repeats_are_completed_and_changes_are_sent_in_full() -> None:
    """A repeated report must never hide a change of state, boot id or group."""
    sender, reader = DigestSender(), DigestReader()
    link = cast("Link", FakeLink())
    steps: list[tuple[MemberHealth | None, bool]] = [
        (HEALTH, False),
        (HEALTH, True),
        (replace(HEALTH, active=9, queued=2), True),
        (replace(HEALTH, leaving=True), False),
        (None, False),
        (None, True),
        (HEALTH, False),
        (replace(HEALTH, boot_id="boot-2"), False),
        (replace(HEALTH, boot_id="boot-2", generation=5), False),
    ]
    for health, is_short in steps:
        evidence = Evidence("vm-1", health, now_s())
        digest, received = exchange(sender, reader, link, evidence)
        assert received == [health]
        assert digest is not None
        assert bool(digest.repeats) is is_short
        # Unchanged evidence is not sent again.
        assert exchange(sender, reader, link, evidence) == (None, [])


def test_new_link_and_returning_vm_get_full_reports() -> None:
    """A receiver must not get a reference to a report that it has not received."""
    sender = DigestSender()
    first, second = cast("Link", FakeLink()), cast("Link", FakeLink())
    other = Evidence("vm-2", replace(HEALTH, vm="vm-2"), now_s())
    reader = DigestReader()
    for link in (first, second):
        evidence = Evidence("vm-1", HEALTH, now_s())
        digest, _ = exchange(sender, reader, link, evidence, other)
        assert digest is not None
        assert len(digest.reports) == 2
    exchange(sender, reader, first, other)
    returned = Evidence("vm-1", HEALTH, now_s())
    digest, received = exchange(sender, reader, first, returned, other)
    assert digest is not None
    assert len(digest.reports) == 1
    assert received == [HEALTH]


def test_no_digest_before_the_first_ping() -> None:
    """Evidence that cannot be dated must be kept for the next digest."""
    sender, reader = DigestSender(), DigestReader()
    link = FakeLink(last_ping_received=0)
    evidence = Evidence("vm-1", HEALTH, now_s())
    assert exchange(sender, reader, cast("Link", link), evidence) == (None, [])
    link.last_ping_received = 1
    assert exchange(sender, reader, cast("Link", link), evidence)[1] == [HEALTH]
