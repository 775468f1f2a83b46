"""Tests of the decision which zones get requests, without a network or a clock."""

import pytest

from gooseberryhall.fleet.evacuation import (
    END_ANNOUNCED_S,
    EvacuationRows,
    Evacuations,
    EvacuationUpdate,
)
from gooseberryhall.fleet.pause import DRAIN_S, MAX_HOLD_S, PauseHold

LIMIT_S = 5.0


def _read(version: int, **zones: int) -> EvacuationRows:
    """Return a complete read at a version, with the row version of each zone."""
    updates = {zone: EvacuationUpdate(row, active=True) for zone, row in zones.items()}
    return EvacuationRows(updates, version, complete=True)


def _evacuations(version: int = 1, **zones: int) -> Evacuations:
    """Return the state of a node after its first read."""
    evacuations = Evacuations(LIMIT_S, ("y", "z"))
    evacuations.apply_rows(_read(version, **zones), 0.0, recent=False)
    return evacuations


def _change(
    evacuations: Evacuations, version: int, now_s: float, **zones: bool
) -> None:
    """Apply a change of rows, which now exist or were removed."""
    updates = {zone: EvacuationUpdate(version, zones[zone]) for zone in zones}
    rows = EvacuationRows(updates, version, complete=False)
    evacuations.apply_rows(rows, now_s, recent=True)


def test_share_falls_to_nothing_in_half_of_the_limit() -> None:
    """Guards against a zone that is cut off at once, or later than it should."""
    evacuations = _evacuations()
    _change(evacuations, 5, 10.0, z=True)
    shares = [evacuations.share("z", 10.0 + step * 0.625) for step in range(5)]
    assert shares == [1.0, 0.75, 0.5, 0.25, 0.0]
    assert evacuations.may_send("z", 12.4)
    assert not evacuations.may_send("z", 12.5)
    assert evacuations.share("y", 20.0) == 1.0


def test_late_node_shifts_its_load_in_the_time_that_is_left() -> None:
    """Guards against a whole shift of a node that hears late, or after a restart."""
    restarted = _evacuations(9, z=5)
    assert not restarted.may_send("z", 0.0)
    # Its peers go on with their shift.
    assert restarted.updates(1.0)["z"].age_s == 1.0
    evacuations = _evacuations()
    evacuations.apply_peer({"z": EvacuationUpdate(5, True, 2.0)}, 10.0)
    assert evacuations.share("z", 10.0) == pytest.approx(0.2)
    assert evacuations.updates(10.1)["z"].age_s == pytest.approx(2.1)
    # Its own watch answers later with the same row.
    _change(evacuations, 5, 10.2, z=True)
    assert not evacuations.may_send("z", 10.5)


def test_updates_older_than_the_restoration_are_discarded() -> None:
    """Guards against a zone that a peer without the store evacuates again."""
    evacuations = _evacuations()
    _change(evacuations, 5, 10.0, z=True)
    assert evacuations.restored_s("z") is None
    _change(evacuations, 8, 20.0, z=False)
    assert evacuations.restored_s("z") == 20.0
    assert evacuations.updates(20.0 + END_ANNOUNCED_S - 1)["z"].version == 8
    assert evacuations.updates(20.0 + END_ANNOUNCED_S) == {}
    assert not evacuations.apply_peer({"z": EvacuationUpdate(5, True)}, 90.0)
    assert evacuations.may_send("z", 99.0)
    # Whoever still tells of it is told when it ended.
    assert evacuations.updates(90.0) == {"z": EvacuationUpdate(8, False, 70.0)}
    late = _evacuations(5, z=5)
    late.apply_peer(evacuations.updates(90.0), 190.0)
    assert late.may_send("z", 190.0)
    assert late.restored_s("z") == 120.0
    # A node that knew nothing of it compares with its last read.
    restarted = _evacuations(9)
    restarted.apply_peer({"z": EvacuationUpdate(5, True)}, 1.0)
    assert restarted.may_send("z", 9.0)
    assert not restarted.updates(9.0)["z"].active


def test_zone_that_is_evacuated_again_between_two_reads_stays_cut_off() -> None:
    """Guards against requests to a zone that was restored for a moment only."""
    evacuations = _evacuations()
    _change(evacuations, 5, 10.0, z=True)
    _change(evacuations, 7, 30.0, z=True)
    evacuations.apply_peer({"z": EvacuationUpdate(6, False)}, 31.0)
    assert not evacuations.may_send("z", 31.0)
    # A node that noticed the restoration shifts its load again.
    _change(evacuations, 8, 40.0, z=False)
    _change(evacuations, 9, 41.0, z=True)
    assert evacuations.share("z", 41.0) == 1.0
    assert not evacuations.may_send("z", 43.5)


def test_complete_read_ends_only_older_evacuations() -> None:
    """Guards against a slow read that ends an evacuation that began meanwhile."""
    evacuations = _evacuations()
    evacuations.apply_peer({"z": EvacuationUpdate(12, True, LIMIT_S)}, 10.0)
    evacuations.apply_rows(_read(11), 10.5, recent=False)
    assert not evacuations.may_send("z", 10.5)
    evacuations.apply_rows(_read(13), 11.0, recent=False)
    assert evacuations.updates(11.0) == {"z": EvacuationUpdate(13, False)}


def test_zones_are_evacuated_independently() -> None:
    """Guards against rows of other zones, known or not, that affect a zone."""
    evacuations = _evacuations()
    _change(evacuations, 5, 10.0, z=True, w=True)
    _change(evacuations, 6, 19.0, y=True)
    assert not evacuations.all_cut_off(19.1)
    assert evacuations.all_cut_off(21.5)
    _change(evacuations, 7, 22.0, z=False)
    assert evacuations.active_zones() == ["y"]
    assert evacuations.unknown_zones == {"w"}


def test_paused_process_is_held_until_it_hears_what_is_known_now() -> None:
    """Guards against sends to a zone that was evacuated while the process stood still.

    The datagrams that it reads first are as old as the start of the pause.
    """
    hold = PauseHold()
    hold.record_tick(10.0)
    assert hold.record_tick(10.6) is None
    assert not hold.is_held(10.7)
    assert hold.is_held(16.0)
    assert hold.record_tick(16.0) == pytest.approx(5.4)
    hold.record_update(16.0 + DRAIN_S / 2)
    assert hold.is_held(16.3)
    hold.record_update(16.3)
    assert not hold.is_held(16.3)
    hold.record_tick(18.0)
    hold.record_tick(18.0 + MAX_HOLD_S / 2)
    assert hold.is_held(18.0 + MAX_HOLD_S / 2)
    assert not hold.is_held(18.0 + MAX_HOLD_S)


def test_evacuation_after_the_store_went_back_counts() -> None:
    """Guards against an evacuation that all nodes ignore (review/13).

    The removal before had a higher version, which the store lost.
    """
    evacuations = _evacuations_of_era(1, 40, z=30)
    _change_in_era(evacuations, 1, 50, 20.0, z=False)
    _change_in_era(evacuations, 2, 25, 30.0, z=True)
    assert not evacuations.may_send("z", 36.0)
    # A peer that did not hear of it tells what it knows.
    evacuations.apply_peer({"z": EvacuationUpdate(50, False, 1.0, 1)}, 37.0)
    assert not evacuations.may_send("z", 37.0)
    # The end of an evacuation counts as well.
    _change_in_era(evacuations, 2, 28, 40.0, z=False)
    evacuations.apply_peer({"z": EvacuationUpdate(30, True, 9.0, 1)}, 41.0)
    assert evacuations.may_send("z", 41.0)


def test_peers_learn_of_an_evacuation_after_the_store_went_back() -> None:
    """Guards against a node without the store that ignores the evacuation."""
    evacuations = _evacuations_of_era(2, 20, z=18)
    cut_off = _evacuations_of_era(1, 40)
    _change_in_era(cut_off, 1, 50, 5.0, z=False)
    assert cut_off.apply_peer(evacuations.updates(10.0), 10.0)
    assert not cut_off.may_send("z", 20.0)


def test_evacuation_is_kept_while_the_store_is_restored() -> None:
    """Guards against requests to a zone whose row is not written again yet."""
    evacuations = _evacuations_of_era(1, 40, z=30)
    restoring = EvacuationRows({}, 20, complete=True, restoring=True, era=2)
    evacuations.apply_rows(restoring, 10.0, recent=False)
    assert not evacuations.may_send("z", 10.0)
    evacuations.apply_rows(
        EvacuationRows({}, 21, complete=True, era=2), 12.0, recent=False
    )
    assert evacuations.may_send("z", 12.0)


def test_updates_of_nodes_of_an_earlier_build_are_of_the_first_era() -> None:
    """Guards against nodes that do not obey each other in an upgrade.

    Nodes of build 13336db state no era and drop versions that are not higher.
    """
    evacuations = _evacuations_of_era(3, 40)
    assert evacuations.apply_peer({"z": EvacuationUpdate(45, True, 9.0)}, 10.0)
    assert not evacuations.may_send("z", 10.0)
    assert evacuations.apply_peer({"z": EvacuationUpdate(46, False, 1.0)}, 20.0)
    assert evacuations.may_send("z", 20.0)
    _change_in_era(evacuations, 4, 25, 30.0, z=True)
    evacuations.apply_peer({"z": EvacuationUpdate(46, False, 1.0)}, 36.0)
    assert not evacuations.may_send("z", 36.0)


def _evacuations_of_era(era: int, version: int, **zones: int) -> Evacuations:
    """Return the state of a node after its first read, in an era of the store."""
    evacuations = Evacuations(LIMIT_S, ("y", "z"))
    updates = {
        zone: EvacuationUpdate(row, active=True, era=era) for zone, row in zones.items()
    }
    rows = EvacuationRows(updates, version, complete=True, era=era)
    evacuations.apply_rows(rows, 0.0, recent=False)
    return evacuations


def _change_in_era(
    evacuations: Evacuations, era: int, version: int, now_s: float, **zones: bool
) -> None:
    """Apply a change of rows in an era; the rows now exist or were removed."""
    updates = {zone: EvacuationUpdate(version, zones[zone], era=era) for zone in zones}
    rows = EvacuationRows(updates, version, complete=False, era=era)
    evacuations.apply_rows(rows, now_s, recent=True)
