"""Tests of how entries and reports are merged."""

from dataclasses import replace

from gooseberryhall.fleet.models import Membership, MemberState
from gooseberryhall.fleet.view import LAPSED_RECORD_GRACE_S, FleetView
from tests.fleet.common import server

READY = Membership("g", 5, 0, MemberState.READY)


def test_servers_missing_after_an_outage_are_kept_for_a_while() -> None:
    """Entries that lapsed while the store was away return within two seconds."""
    view = FleetView()
    view.apply_snapshot([server("a"), server("b")], after_outage=False, now_s=0.0)
    view.apply_snapshot([server("a")], after_outage=True, now_s=10.0)
    assert view.forget_lapsed(10.0 + LAPSED_RECORD_GRACE_S / 2) == []
    assert set(view.servers) == {"a", "b"}
    assert view.forget_lapsed(10.1 + LAPSED_RECORD_GRACE_S) == ["b"]
    assert set(view.servers) == {"a"}


def test_entry_that_returns_is_not_forgotten() -> None:
    """A server whose entry is back in time lives."""
    view = FleetView()
    view.apply_snapshot([server("a")], after_outage=False, now_s=0.0)
    view.apply_snapshot([], after_outage=True, now_s=1.0)
    view.apply_record(server("a"), 2.0)
    assert view.forget_lapsed(10.0) == []


def test_server_that_is_gone_in_calm_is_forgotten_at_once() -> None:
    """A server that left must get no new requests."""
    view = FleetView()
    view.apply_snapshot([server("a")], after_outage=False, now_s=0.0)
    view.apply_snapshot([], after_outage=False, now_s=1.0)
    assert view.servers == {}


def test_old_entry_does_not_replace_a_report() -> None:
    """An entry that was under way when the server reported is older."""
    view = FleetView()
    view.apply_record(server("a"), 0.0)
    view.put_report(
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


def test_new_life_replaces_everything() -> None:
    """A server that started again knows nothing of its groups."""
    view = FleetView()
    view.apply_record(server("a", membership=READY, heartbeat=9), 0.0)
    view.apply_record(server("a", started_at_ms=2, heartbeat=1), 1.0)
    assert view.servers["a"].membership is None


def test_late_entry_of_an_earlier_life_is_ignored() -> None:
    """A write of the earlier life may arrive after the restart."""
    view = FleetView()
    view.apply_record(server("a", started_at_ms=2), 0.0)
    view.apply_record(server("a", started_at_ms=1, membership=READY, heartbeat=9), 1.0)
    assert view.servers["a"].membership is None
