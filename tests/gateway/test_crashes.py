"""Tests of finding the cause of crashes."""

from typing import Any

import pytest

from gooseberryhall.gateway import crashes
from gooseberryhall.gateway.const import (
    ANSWER_TRUST_S,
    CRASH_RETENTION_S,
    MAX_ANSWERED_TRAITS,
    MAX_CRASHED_SERVERS,
    MAX_GOSSIPED_CRASHES,
    MAX_GOSSIPED_CRASHES_OF_REQUEST,
    MAX_PROMPT_PARTS,
    MAX_SUSPECTS,
)
from gooseberryhall.gateway.crash_causes import Crash, Evidence, find_causes
from gooseberryhall.gateway.crashes import CrashTracker, request_fingerprint
from gooseberryhall.gateway.models import CrashReport, ReportedCrash
from gooseberryhall.gateway.prompt import shared_prompt_parts


def _evidence(*items: tuple[str, str]) -> list[Evidence]:
    """Return evidence from pairs of a server and the traits in flight there."""
    return [
        Evidence(Crash(server, 0.0), frozenset(traits.split()))
        for server, traits in items
    ]


def _causes(*items: tuple[str, str]) -> list[str]:
    """Return the causes that three crashes show, as texts."""
    return [" ".join(sorted(cause)) for cause in find_causes(_evidence(*items), 3)]


def _crash(tracker: CrashTracker, request: str, parts: str, *servers: str) -> None:
    for number, server in enumerate(servers):
        tracker.record_crash(request, server, float(number), tuple(parts.split()))


def _is_blocked(tracker: CrashTracker, traits: str) -> bool:
    return tracker.is_blocked(frozenset(traits.split()))


def _count_crashes(tracker: CrashTracker, fingerprint: str) -> int:
    suspect = tracker._suspects.get(fingerprint)
    return len(suspect.crashes) if suspect else 0


def test_success_clears_the_crashes_of_a_request() -> None:
    """Guards against blocking a harmless request that many callers repeat.

    Such reads are often in flight at servers that crash for another reason.
    """
    tracker = CrashTracker()
    key = request_fingerprint("t", b"GET", b"/a", b"")
    for number in range(MAX_CRASHED_SERVERS):
        tracker.record_crash(key, f"s{number}", 0.0)
    assert _is_blocked(tracker, key)
    tracker.record_success(key, 1.0)
    assert not _is_blocked(tracker, key)


def test_fingerprint_separates_its_parts() -> None:
    """Guards against a request that is blocked for the crashes of another."""
    assert request_fingerprint("t", b"GET", b"/ab", b"") != request_fingerprint(
        "t", b"GET", b"/a", b"b"
    )


def test_a_repeated_request_is_the_cause_and_not_its_parts() -> None:
    """Guards against refusing all requests of a prompt part for a single one."""
    assert _causes(("a", "q1 part"), ("b", "q1 part"), ("c", "q1 part")) == ["part q1"]


def test_different_requests_show_the_part_that_they_share() -> None:
    """Guards against requests that are not recognized, as no two are alike."""
    items = [("a", "q1 part"), ("b", "q1 part"), ("c", "q2 part")]
    assert _causes(*items) == ["part"]


def test_requests_with_one_of_two_parts_are_still_served() -> None:
    """Guards against refusing sound requests that share a part with crashing ones.

    While it is unknown which of two parts is the cause, only requests with both are
    refused. A crash of a request with one of them shows the cause.
    """
    both = [("a", "q1 first bad"), ("b", "q2 first bad"), ("c", "q3 first bad")]
    assert _causes(*both) == ["bad first"]
    assert _causes(*both, ("d", "q4 first")) == ["first"]


def test_requests_in_flight_beside_the_cause_are_not_blamed() -> None:
    """Guards against refusing streams that moved from one crashing group to another."""
    items = [
        (server, traits)
        for server in ("a", "b", "c")
        for traits in ("q1 bad", "q2 other", "q3 third")
    ]
    assert _causes(*items, ("d", "q4 bad")) == ["bad"]


def test_request_at_the_same_crashes_as_the_cause_does_not_hide_it() -> None:
    """Guards against a cause that goes on because another request was blamed.

    A stream that moves on together with the crashing request breaks off each time.
    """
    items = [
        (server, traits) for server in ("a", "b", "c") for traits in ("q1 bad", "q2 z")
    ]
    assert sorted(_causes(*items)) == ["bad q1", "q2 z"]


def test_aborted_request_explains_a_crash_that_it_no_longer_sees() -> None:
    """Guards against blaming the others in flight, so that the cause is forgotten.

    A request that is aborted as its server begins to answer still crashes it.
    """
    tracker = CrashTracker()
    _crash(tracker, "q1", "bad", "a", "b", "c")
    _crash(tracker, "q2", "bad", "a")
    _crash(tracker, "q3", "other", "a", "b")
    tracker.record_abandoned("q4", "d", 3.0, ("bad",))
    tracker.record_crash("q3", "d", 3.1, ("other",))
    assert _is_blocked(tracker, "q5 bad")
    assert not _is_blocked(tracker, "q3 other")


def test_part_that_was_answered_is_harmless() -> None:
    """Guards against refusing a popular part after the loss of many servers at once."""
    tracker = CrashTracker()
    tracker.record_success("q0", 0.0, ("popular",))
    for number in range(8):
        tracker.record_crash(f"q{number}", f"s{number}", 5.0, ("popular",))
    assert tracker.causes() == []
    later_s = ANSWER_TRUST_S + 1
    for number in range(8):
        tracker.record_crash(f"p{number}", f"s{number}", later_s, ("popular",))
    assert tracker.causes() == [frozenset({"popular"})]


def test_rare_part_stays_harmless_while_many_requests_are_answered() -> None:
    """Guards against old crashes that count again when an answer is forgotten.

    The fingerprints of all requests displaced the parts that were answered before.
    """
    tracker = CrashTracker()
    tracker.record_success("q0", 0.0, ("rare",))
    for number in range(3):
        tracker.record_crash(f"q{number}", f"s{number}", 1.0, ("rare",))
    for number in range(MAX_ANSWERED_TRAITS):
        tracker.record_success(f"p{number}", 2.0, ("popular",))
    tracker.record_crash("q4", "s4", 3.0, ("rare",))
    assert not _is_blocked(tracker, "q5 rare")


def test_answer_known_to_another_node_shows_that_a_part_is_harmless() -> None:
    """Guards against a rare part that is refused on nodes that did not serve it."""
    here, there = CrashTracker(), CrashTracker()
    there.record_success("q0", 0.0, ("rare",))
    for number in range(3):
        here.record_crash(f"q{number}", f"s{number}", 1.0, ("rare",))
    assert _is_blocked(here, "q9 rare")
    there.merge(here.reports(1.0, with_causes=False), {}, 1.0)
    here.merge((), there.harmless_traits(1.0), 1.0)
    assert not _is_blocked(here, "q9 rare")


def test_node_that_has_just_started_learns_old_causes() -> None:
    """Guards against a cause that crashes servers again through a restarted node."""
    tracker = CrashTracker()
    _crash(tracker, "q1", "bad", "a", "b", "c")
    _crash(tracker, "q2", "bad", "d")
    later_s = 60.0
    assert tracker.reports(later_s, with_causes=False) == ()
    started = CrashTracker()
    started.merge(tracker.reports(later_s, with_causes=True), {}, later_s)
    assert _is_blocked(started, "q3 bad")
    started.remove_expired(CRASH_RETENTION_S - 1)
    assert _is_blocked(started, "q3 bad")
    started.remove_expired(CRASH_RETENTION_S + 5)
    assert not _is_blocked(started, "q3 bad")


def test_cause_is_reported_before_other_requests() -> None:
    """Guards against a message that is full of requests that were merely in flight."""
    tracker = CrashTracker()
    _crash(tracker, "q1", "bad", "a", "b", "c")
    _crash(tracker, "q2", "bad", "d")
    for number in range(50):
        tracker.record_crash(f"other{number}", "e", 5.0, (f"part{number}",))
    reports = tracker.reports(5.0, with_causes=True)
    assert len(reports) == MAX_GOSSIPED_CRASHES
    assert {report.fingerprint for report in reports[:2]} == {"q1", "q2"}


def test_many_requests_in_flight_at_crashes_do_not_displace_a_cause() -> None:
    """Guards against a cause that is forgotten when many other servers are lost."""
    tracker = CrashTracker()
    _crash(tracker, "q1", "bad", "a", "b", "c")
    _crash(tracker, "q2", "bad", "d")
    for number in range(2 * MAX_SUSPECTS):
        tracker.record_crash(f"p{number}", f"s{number}", 9.0, (f"part{number}",))
    assert tracker.causes() == [frozenset({"bad"})]
    assert len(tracker.crashed_servers("q1")) == MAX_CRASHED_SERVERS


def test_causes_are_derived_only_if_they_may_have_changed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a busy node when many streams break off at once.

    Deriving the causes takes milliseconds, and each of these streams is checked.
    """
    derived = 0

    def derive(*args: Any) -> list[frozenset[str]]:
        nonlocal derived
        derived += 1
        return find_causes(*args)

    monkeypatch.setattr(crashes, "find_causes", derive)
    tracker = CrashTracker()
    tracker.record_success("q", 0.0, ("popular",))
    for number in range(100):
        traits = frozenset({f"q{number}", "popular"})
        tracker.record_crash(f"q{number}", f"s{number % 9}", 1.0, ("popular",))
        assert not tracker.is_blocked(traits)
        tracker.record_success(f"q{number}", 2.0, ("popular",))
    assert derived == 1
    _crash(tracker, "r1", "bad", "a", "b", "c")
    assert _is_blocked(tracker, "r1 bad")
    assert derived == 2


def test_reports_of_one_crash_by_several_nodes_count_once() -> None:
    """Guards against a cause that is found after one crash.

    A server that started again with its old id can crash once more.
    """
    tracker = CrashTracker()
    for at_s in (0.0, 0.2, 0.4):
        tracker.record_crash("q1", "a", at_s)
    assert tracker.causes() == []
    tracker.record_crash("q1", "a", 10.0)
    tracker.record_crash("q1", "a", 20.0)
    assert _is_blocked(tracker, "q1")


def test_server_that_breaks_single_requests_does_not_crash_each_time() -> None:
    """Guards against refusing a harmless request that was sent again.

    Two faulty servers reset a request four times within three seconds (a hunted day of
    altiplano-obra, hunt-5648-7).
    """
    tracker = CrashTracker()
    for server, at_s in (("a", 0.0), ("b", 0.2), ("b", 2.3), ("a", 2.5)):
        tracker.record_crash("q1", server, at_s, ("part",))
    assert not _is_blocked(tracker, "q1 part")


def test_each_incarnation_of_a_server_may_crash() -> None:
    """Guards against a request that crashes two servers again and again (review/10).

    Each of them starts again under its id some seconds later. It was refused only after
    a server had crashed twice within more than ten seconds.
    """
    tracker = CrashTracker()
    for at_s, incarnation in ((0.0, 7), (2.5, 8)):
        tracker.record_crash("q1", "a", at_s, incarnation=incarnation)
    tracker.record_crash("q1", "b", 0.5, incarnation=9)
    assert _is_blocked(tracker, "q1")
    # Peers count each of these crashes, and each of them once.
    peer = CrashTracker()
    for _ in range(2):
        peer.merge(tracker.reports(3.0, with_causes=False), {}, 3.0)
    assert _is_blocked(peer, "q1")
    assert _count_crashes(peer, "q1") == MAX_CRASHED_SERVERS


def test_incarnation_that_breaks_single_requests_does_not_crash_each_time() -> None:
    """Guards against refusing a harmless request since its server is known."""
    tracker = CrashTracker()
    for number in range(MAX_CRASHED_SERVERS + 1):
        tracker.record_crash("q1", "a", float(number), incarnation=7)
    assert not _is_blocked(tracker, "q1")


def test_crash_that_a_node_of_an_earlier_build_tells_counts_once() -> None:
    """Guards against crashes that count twice in an upgrade.

    Nodes of build 13336db do not tell the incarnation; of two crashes of a server the
    nearest one is meant.
    """
    tracker = CrashTracker()
    tracker.record_crash("q1", "a", 0.0, incarnation=7)
    tracker.record_crash("q1", "a", 3.0, incarnation=8)
    for age_s in (0, 3):
        told = CrashReport("q1", (), (ReportedCrash("a", age_s),))
        tracker.merge((told,), {}, 3.2)
    assert _count_crashes(tracker, "q1") == 2
    assert not _is_blocked(tracker, "q1")


def test_report_of_many_crashes_is_short() -> None:
    """Guards against datagrams that grow with each crash of a request."""
    tracker = CrashTracker()
    for number in range(50):
        tracker.record_crash("q1", f"s{number}", float(number))
    (report,) = tracker.reports(50.0, with_causes=True)
    assert len(report.crashes) == MAX_GOSSIPED_CRASHES_OF_REQUEST
    assert report.crashes[-1].server_id == "s49"


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (None, ()),
        (b"own:5", ()),
        (b"a:40,b:20,own:5", ("a", "b")),
        (b" a:40 , :3,a:2,own:5", ("a",)),
        (b",".join(b"p%d:1" % number for number in range(9_999)), None),
    ],
)
def test_last_prompt_part_is_not_shared(
    value: bytes | None, expected: tuple[str, ...] | None
) -> None:
    """Guards against blaming the part that only one request has, and endless lists."""
    parts = shared_prompt_parts(value)
    assert len(parts) <= MAX_PROMPT_PARTS
    if expected is not None:
        assert parts == expected
