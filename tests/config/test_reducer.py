"""Tests of the config reducer."""

from gooseberryhall.config.effects import ConfigApplied, RequestConfig
from gooseberryhall.config.events import ConfigChangesReceived, ConfigSnapshotReceived
from gooseberryhall.config.models import ObjectKind, Team
from gooseberryhall.config.operations import Change, DeleteObject, PutObject
from gooseberryhall.core.reducer import reduce
from gooseberryhall.core.state import Identity, State


def _create_state() -> State:
    return State(Identity("obihiro-1", "obihiro", "hokkaido"))


def _create_change(revision: int, name: str = "dues", weight: int = 1) -> Change:
    operation = PutObject(object=Team(name=name, weight=weight))
    return Change(
        revision=revision, actor="a", token=str(revision), operations=(operation,)
    )


def test_changes_that_arrive_out_of_order_apply_in_revision_order() -> None:
    """Applying a later change first would restore an older value."""
    state = _create_state()
    changes = (_create_change(2, weight=2), _create_change(1, weight=1))
    effects = reduce(state, ConfigChangesReceived(changes), 0.0)
    assert [item.weight for item in state.config.of_type(Team)] == [2]
    keys = frozenset({(ObjectKind.TEAM, "dues")})
    assert effects == [ConfigApplied(2, keys, (changes[1], changes[0]))]


def test_gap_is_requested_and_not_skipped() -> None:
    """A skipped change would be missing until the object changes again."""
    state = _create_state()
    event = ConfigChangesReceived((_create_change(1), _create_change(3, "late")))
    effects = reduce(state, event, 0.0)
    assert state.config.revision == 1
    assert effects[-1] == RequestConfig(after=1)


def test_older_changes_and_snapshots_are_ignored() -> None:
    """A slow peer must not restore an older configuration (P8)."""
    state = _create_state()
    reduce(state, ConfigSnapshotReceived(5, (Team(name="dues", weight=5),)), 0.0)
    assert reduce(state, ConfigChangesReceived((_create_change(5),)), 0.0) == []
    assert reduce(state, ConfigSnapshotReceived(5, ()), 0.0) == []
    assert reduce(state, ConfigSnapshotReceived(4, ()), 0.0) == []
    assert [item.weight for item in state.config.of_type(Team)] == [5]


def test_snapshot_reports_changed_and_removed_objects() -> None:
    """Other packages react to the keys; a missing key keeps a removed team routable."""
    state = _create_state()
    kept, removed = Team(name="kept"), Team(name="gone")
    reduce(state, ConfigSnapshotReceived(1, (kept, removed)), 0.0)
    (effect,) = reduce(state, ConfigSnapshotReceived(9, (kept,)), 0.0)
    assert effect == ConfigApplied(9, frozenset({(ObjectKind.TEAM, "gone")}))


def test_deleted_object_is_removed() -> None:
    """A deleted team must lose its access."""
    state = _create_state()
    delete = DeleteObject(kind=ObjectKind.TEAM, name="dues")
    removal = Change(revision=2, actor="a", token="2", operations=(delete,))
    reduce(state, ConfigChangesReceived((_create_change(1), removal)), 0.0)
    assert state.config.objects == {}
