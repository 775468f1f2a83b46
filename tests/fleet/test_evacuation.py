"""Tests of the decision which zones get requests, without a network or a clock."""

import pytest

from gooseberryhall.fleet.evacuation import (
    END_TOLD_S,
    EvacuationNews,
    EvacuationRows,
    Evacuations,
)
from gooseberryhall.fleet.pause import DRAIN_S, MAX_HOLD_S, PauseHold

LIMIT_S = 5.0
EMPTY = EvacuationRows({}, 1, complete=True)


def _change(version: int, zone: str = "z", *, active: bool = True) -> EvacuationRows:
    return EvacuationRows({zone: EvacuationNews(version, active)}, version, False)


def _read(version: int, **zones: int) -> EvacuationRows:
    """Return a complete read at a version, with the row version of each zone."""
    news = {zone: EvacuationNews(row, active=True) for zone, row in zones.items()}
    return EvacuationRows(news, version, complete=True)


def _evacuations() -> Evacuations:
    """Return the state of a node that read the table at version 1."""
    evacuations = Evacuations(LIMIT_S, ("y", "z"))
    evacuations.apply_rows(EMPTY, 0.0, recent=False)
    return evacuations


def test_share_falls_to_nothing_in_half_of_the_limit() -> None:
    """Guards against a zone that is cut off at once, or later than it should."""
    evacuations = _evacuations()
    assert evacuations.share("z", 10.0) == 1.0
    assert evacuations.apply_rows(_change(5), 10.0, recent=True)
    shares = [evacuations.share("z", 10.0 + step * 0.625) for step in range(5)]
    assert shares == [1.0, 0.75, 0.5, 0.25, 0.0]
    assert evacuations.may_send("z", 12.4)
    assert not evacuations.may_send("z", 12.5)
    assert evacuations.share("y", 20.0) == 1.0


def test_zone_is_cut_off_at_once_by_a_complete_read() -> None:
    """Guards against a second shift after a restart or an outage of the store.

    The row may be older than the limit then.
    """
    evacuations = Evacuations(LIMIT_S, ("y", "z"))
    assert not evacuations.may_send("z", 0.0)
    evacuations.apply_rows(_read(9, z=5), 0.0, recent=False)
    assert not evacuations.may_send("z", 0.0)
    assert evacuations.may_send("y", 0.0)


def test_late_node_shifts_its_load_in_the_time_that_is_left() -> None:
    """Guards against a node that begins a whole shift when it hears of it late."""
    evacuations = _evacuations()
    evacuations.apply_peer({"z": EvacuationNews(5, True, 2.0)}, 10.0)
    assert evacuations.share("z", 10.0) == pytest.approx(0.2)
    assert evacuations.told(10.1)["z"].age_s == pytest.approx(2.1)
    # Its own watch answers later with the same row.
    assert not evacuations.apply_rows(_change(5), 10.2, recent=True)
    assert not evacuations.may_send("z", 10.5)


def test_news_older_than_the_restoration_are_discarded() -> None:
    """Guards against a zone that a peer without the store evacuates again."""
    evacuations = _evacuations()
    evacuations.apply_rows(_change(5), 10.0, recent=True)
    assert evacuations.restored_s("z") is None
    assert evacuations.apply_rows(_change(8, active=False), 20.0, recent=True)
    assert evacuations.restored_s("z") == 20.0
    assert evacuations.may_send("z", 20.0)
    assert evacuations.told(20.0 + END_TOLD_S - 0.1) == {"z": EvacuationNews(8, False)}
    assert evacuations.told(20.0 + END_TOLD_S) == {}
    # Whoever still tells of it is told that it ended.
    assert not evacuations.apply_peer({"z": EvacuationNews(5, True)}, 90.0)
    assert evacuations.may_send("z", 90.0)
    assert evacuations.told(90.0) == {"z": EvacuationNews(8, False)}
    assert evacuations.restored_s("z") == 20.0


def test_restarted_node_discards_news_older_than_its_read() -> None:
    """Guards against a zone that stays evacuated on nodes that did not know it."""
    evacuations = Evacuations(LIMIT_S, ("y", "z"))
    evacuations.apply_rows(_read(9), 0.0, recent=False)
    assert not evacuations.apply_peer({"z": EvacuationNews(5, True)}, 1.0)
    assert evacuations.may_send("z", 9.0)
    assert evacuations.told(9.0) == {"z": EvacuationNews(9, False)}
    assert evacuations.apply_peer({"z": EvacuationNews(10, True, 5.0)}, 10.0)
    assert not evacuations.may_send("z", 10.0)


def test_zone_that_is_evacuated_again_between_two_reads_stays_cut_off() -> None:
    """Guards against requests to a zone that was restored for a moment only."""
    evacuations = _evacuations()
    evacuations.apply_rows(_change(5), 10.0, recent=True)
    evacuations.apply_rows(_change(7), 30.0, recent=True)
    assert not evacuations.may_send("z", 30.0)
    assert not evacuations.apply_peer({"z": EvacuationNews(6, False)}, 31.0)
    assert evacuations.is_active("z")
    # A node that noticed the restoration shifts its load again.
    evacuations.apply_rows(_change(8, active=False), 40.0, recent=True)
    evacuations.apply_rows(_change(9), 41.0, recent=True)
    assert evacuations.share("z", 41.0) == 1.0
    assert not evacuations.may_send("z", 43.5)


def test_complete_read_ends_only_older_evacuations() -> None:
    """Guards against a slow read that ends an evacuation that began meanwhile."""
    evacuations = _evacuations()
    evacuations.apply_peer({"z": EvacuationNews(12, True, LIMIT_S)}, 10.0)
    evacuations.apply_rows(_read(11), 10.5, recent=False)
    assert not evacuations.may_send("z", 10.5)
    evacuations.apply_rows(_read(13), 11.0, recent=False)
    assert evacuations.may_send("z", 11.0)
    assert evacuations.told(11.0) == {"z": EvacuationNews(13, False)}


def test_zones_are_evacuated_independently() -> None:
    """Guards against an evacuation that ends with that of another zone."""
    evacuations = _evacuations()
    evacuations.apply_rows(_change(5, "z"), 10.0, recent=True)
    assert not evacuations.all_cut_off(19.0)
    evacuations.apply_rows(_change(6, "y"), 19.0, recent=True)
    assert not evacuations.all_cut_off(19.1)
    assert evacuations.all_cut_off(21.5)
    evacuations.apply_rows(_change(7, "z", active=False), 22.0, recent=True)
    assert evacuations.active_zones() == ["y"]
    assert not evacuations.may_send("y", 22.0)


def test_unknown_zones_and_a_limit_of_0_have_no_effect() -> None:
    """Guards against refused requests because of a row that evacuates nothing."""
    evacuations = _evacuations()
    evacuations.apply_rows(_change(5, "w"), 10.0, recent=True)
    assert evacuations.unknown_zones == {"w"}
    assert not evacuations.all_cut_off(60.0)
    assert evacuations.told(10.0) == {}
    without = Evacuations(0.0, ("y", "z"))
    assert not without.apply_rows(_read(5, y=4, z=5), 10.0, recent=True)
    assert not without.apply_peer({"z": EvacuationNews(5, True)}, 10.0)
    assert without.may_send("z", 60.0)


def test_paused_process_is_held_until_it_hears_what_is_known_now() -> None:
    """Guards against sends to a zone that was evacuated while the process stood still.

    The datagrams that it reads first are as old as the start of the pause.
    """
    hold = PauseHold()
    assert not hold.is_held(0.0)
    assert hold.record_tick(10.0) is None
    assert hold.record_tick(10.6) is None
    assert hold.is_held(16.0)
    assert hold.record_tick(16.0) == pytest.approx(5.4)
    hold.record_news(16.0 + DRAIN_S / 2)
    assert hold.is_held(16.3)
    hold.record_news(16.3)
    assert not hold.is_held(16.3)
    hold.record_tick(18.0)
    assert hold.is_held(18.0)
    hold.record_tick(18.0 + MAX_HOLD_S / 2)
    assert not hold.is_held(18.0 + MAX_HOLD_S)
