"""Tests of the merge of server records and reports."""

from dataclasses import replace

from gooseberryhall.fleet.models import Membership, MemberState
from gooseberryhall.fleet.view import LAPSED_RECORD_GRACE_S, FleetView
from tests.fleet.common import server

READY = Membership("g", 5, 0, MemberState.READY)


def test_servers_missing_after_an_outage_are_kept_for_the_grace_period() -> None:
    """Guards against the removal of servers whose records lapsed during an outage.

    Such records return within 2 s.
    """
    view = FleetView()
    view.apply_snapshot([server("a"), server("b")], after_outage=False, now_s=0.0)
    view.apply_snapshot([server("a")], after_outage=True, now_s=10.0)
    assert view.remove_lapsed(10.0 + LAPSED_RECORD_GRACE_S / 2) == []
    assert set(view.servers) == {"a", "b"}
    assert view.remove_lapsed(10.1 + LAPSED_RECORD_GRACE_S) == ["b"]
    assert set(view.servers) == {"a"}


def test_server_whose_record_returns_is_kept() -> None:
    """Guards against the late removal of a server whose record returned in time."""
    view = FleetView()
    view.apply_snapshot([server("a")], after_outage=False, now_s=0.0)
    view.apply_snapshot([], after_outage=True, now_s=1.0)
    view.apply_record(server("a"), 2.0)
    assert view.remove_lapsed(10.0) == []


def test_server_deleted_without_outage_is_removed_at_once() -> None:
    """Guards against new requests to a server that left."""
    view = FleetView()
    view.apply_snapshot([server("a")], after_outage=False, now_s=0.0)
    view.apply_snapshot([], after_outage=False, now_s=1.0)
    assert view.servers == {}


def test_older_record_does_not_replace_a_report() -> None:
    """Guards against replacing a report by a record that was then in transit."""
    view = FleetView()
    view.apply_record(server("a"), 0.0)
    view.apply_report(
        "a",
        started_at_ms=1,
        membership=READY,
        staged=frozenset({"m"}),
        last_model="m",
        now_s=1.0,
    )
    joining = replace(READY, state=MemberState.JOINING)
    view.apply_record(server("a", membership=joining, heartbeat=3), 1.1)
    assert view.servers["a"].membership == READY
    view.apply_record(server("a", membership=None, heartbeat=4), 1.2)
    assert view.servers["a"].membership == READY


def test_new_incarnation_replaces_the_state() -> None:
    """Guards against a membership that a restarted server no longer has."""
    view = FleetView()
    view.apply_record(server("a", membership=READY, heartbeat=9), 0.0)
    view.apply_record(server("a", started_at_ms=2, heartbeat=1), 1.0)
    assert view.servers["a"].membership is None


def test_late_record_of_an_earlier_incarnation_is_ignored() -> None:
    """Guards against a late write of an earlier incarnation that replaces the newer."""
    view = FleetView()
    view.apply_record(server("a", started_at_ms=2), 0.0)
    view.apply_record(server("a", started_at_ms=1, membership=READY, heartbeat=9), 1.0)
    assert view.servers["a"].membership is None


def test_cold_time_counts_from_the_first_arrival_of_a_record() -> None:
    """Guards against a server that stays cold because its record is read again."""
    view = FleetView()
    record = server("a", heartbeat=3, cold_remaining_s=2.0, arrived_s=5.0)
    view.apply_record(record, 5.0)
    view.apply_record(replace(record, arrived_s=6.0), 6.0)
    assert view.servers["a"].arrived_s == 5.0
    later = replace(record, heartbeat=4, cold_remaining_s=1.0, arrived_s=6.0)
    view.apply_record(later, 6.0)
    assert view.servers["a"] == later


def test_record_of_an_earlier_incarnation_tells_no_cold_time() -> None:
    """Guards against a restarted server that its old record makes look warm."""
    view = FleetView()
    view.apply_record(server("a", cold_remaining_s=0.0, arrived_s=5.0), 5.0)
    view.apply_report(
        "a",
        started_at_ms=2,
        membership=None,
        staged=frozenset(),
        last_model=None,
        now_s=6.0,
    )
    assert view.servers["a"].cold_remaining_s is None


def test_leaving_of_a_new_life_is_noticed_after_its_report() -> None:
    """Guards against requests to a leaving server that came back under its id.

    Its heartbeats count from the start, and a report may tell of the new life first.
    """
    view = FleetView()
    view.apply_record(server("a", heartbeat=40), 0.0)
    _report_restart(view)
    view.apply_record(server("a", started_at_ms=2, heartbeat=1, leaving=True), 2.0)
    assert view.servers["a"].leaving


def test_leaving_of_the_earlier_life_does_not_hold_after_a_report() -> None:
    """Guards against a restarted server that gets no work, as it left before."""
    view = FleetView()
    view.apply_record(server("a", heartbeat=40, leaving=True), 0.0)
    _report_restart(view)
    assert not view.servers["a"].leaving


def _report_restart(view: FleetView) -> None:
    view.apply_report(
        "a",
        started_at_ms=2,
        membership=None,
        staged=frozenset(),
        last_model=None,
        now_s=1.0,
    )


def test_record_from_an_earlier_copy_does_not_bring_a_server_back() -> None:
    """Guards against requests to a server that left before the store went back."""
    view = FleetView()
    view.apply_record(server("s1", heartbeat=9), 0.0)
    view.remove_server("s1", 1.0)
    view.apply_snapshot([server("s1", heartbeat=7)], after_outage=True, now_s=2.0)
    assert view.servers == {}
    # A server whose record lapsed writes it again.
    view.apply_record(server("s1", heartbeat=10), 3.0)
    assert set(view.servers) == {"s1"}
    view.remove_server("s1", 4.0)
    view.apply_record(server("s1", heartbeat=0, started_at_ms=2), 5.0)
    assert set(view.servers) == {"s1"}
