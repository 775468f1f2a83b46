"""Tests of the config reducer."""

from gooseberryhall.config.effects import ConfigApplied, RequestConfig
from gooseberryhall.config.events import ConfigChangesReceived, ConfigSnapshotReceived
from gooseberryhall.config.models import ObjectKind, Team
from gooseberryhall.config.operations import Change, DeleteObject, PutObject
from gooseberryhall.core.reducer import reduce
from gooseberryhall.core.state import Identity, State


def _state() -> State:
    return State(Identity("obihiro-1", "obihiro", "hokkaido"))


def _change(revision: int, name: str = "dues", weight: int = 1) -> Change:
    operation = PutObject(object=Team(name=name, weight=weight))
    return Change(
        revision=revision, actor="a", token=str(revision), operations=(operation,)
    )


def test_changes_apply_in_order_whatever_their_order_of_arrival() -> None:
    """Applying a later edit first would bring back an older value."""
    state = _state()
    changes = (_change(2, weight=2), _change(1, weight=1))
    effects = reduce(state, ConfigChangesReceived(changes), 0.0)
    assert [item.weight for item in state.config.of_type(Team)] == [2]
    keys = frozenset({(ObjectKind.TEAM, "dues")})
    assert effects == [ConfigApplied(2, keys, (changes[1], changes[0]))]


def test_gap_is_requested_and_not_skipped() -> None:
    """A skipped change would be missing until the object changes again."""
    state = _state()
    event = ConfigChangesReceived((_change(1), _change(3, "late")))
    effects = reduce(state, event, 0.0)
    assert state.config.revision == 1
    assert effects[-1] == RequestConfig(after=1)


def test_older_changes_and_snapshots_are_ignored() -> None:
    """A slow peer must not bring back an older configuration (P8)."""
    state = _state()
    reduce(state, ConfigSnapshotReceived(5, (Team(name="dues", weight=5),)), 0.0)
    assert reduce(state, ConfigChangesReceived((_change(5),)), 0.0) == []
    assert reduce(state, ConfigSnapshotReceived(5, ()), 0.0) == []
    assert reduce(state, ConfigSnapshotReceived(4, ()), 0.0) == []
    assert [item.weight for item in state.config.of_type(Team)] == [5]


def test_snapshot_reports_changed_and_removed_objects() -> None:
    """Other concerns act on the keys; a missing key leaves a removed team routable."""
    state = _state()
    kept, gone = Team(name="kept"), Team(name="gone")
    reduce(state, ConfigSnapshotReceived(1, (kept, gone)), 0.0)
    (effect,) = reduce(state, ConfigSnapshotReceived(9, (kept,)), 0.0)
    assert effect == ConfigApplied(9, frozenset({(ObjectKind.TEAM, "gone")}))


def test_deleted_object_is_removed() -> None:
    """A deleted team must lose its access."""
    state = _state()
    delete = DeleteObject(kind=ObjectKind.TEAM, name="dues")
    removal = Change(revision=2, actor="a", token="2", operations=(delete,))
    reduce(state, ConfigChangesReceived((_change(1), removal)), 0.0)
    assert state.config.objects == {}
