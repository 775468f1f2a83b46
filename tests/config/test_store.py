"""Tests of the configuration table under concurrent edits and lost responses."""

import asyncio
from collections.abc import Awaitable, Coroutine
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    precondition,
    rule,
)
from result import Err, Ok, Result

from gooseberryhall.adapters.exceptions import TableUnavailableError
from gooseberryhall.config.const import MAX_CHANGES_READ
from gooseberryhall.config.effects import ConfigApplied, RequestConfig
from gooseberryhall.config.events import ConfigChangesReceived
from gooseberryhall.config.models import AnyObject, ObjectKind, Team
from gooseberryhall.config.operations import (
    Change,
    DeleteObject,
    Operation,
    PutObject,
    apply_operations,
)
from gooseberryhall.config.service import async_fetch_missing
from gooseberryhall.config.state import ObjectKey
from gooseberryhall.config.store import (
    Edit,
    EditConflict,
    async_edit,
    async_load_changes,
    async_load_revision,
    async_load_snapshot,
)
from gooseberryhall.core.runtime import Runtime
from gooseberryhall.core.state import Identity, State
from tests.fakes import FakeTable

Outcome = Result[Change, EditConflict] | None
OPERATIONS: st.SearchStrategy[Operation] = st.one_of(
    st.builds(
        lambda name, weight: PutObject(object=Team(name=name, weight=weight)),
        st.sampled_from("abc"),
        st.integers(1, 9),
    ),
    st.builds(
        lambda name: DeleteObject(kind=ObjectKind.TEAM, name=name),
        st.sampled_from("abc"),
    ),
)
EDITS = st.lists(OPERATIONS, min_size=1, max_size=3).map(tuple)


def _put_team(name: str, weight: int = 1) -> tuple[Operation, ...]:
    return (PutObject(object=Team(name=name, weight=weight)),)


def _create_runtime() -> Runtime:
    runtime = Runtime(State(Identity("obihiro-1", "obihiro", "hokkaido")))
    runtime.register(RequestConfig, lambda effect: None)
    runtime.register(ConfigApplied, lambda effect: None)
    return runtime


class EditMachine(RuleBasedStateMachine):
    """Concurrent edits of a table that is slow, down or loses responses.

    The model `accepted` maps revisions to the edits that were reported as accepted.
    """

    unconfirmed: Bundle[Edit] = Bundle("unconfirmed")

    def __init__(self) -> None:
        """Create an empty table and a replica of the configuration."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.table = FakeTable()
        self.replica = _create_runtime()
        self.accepted: dict[int, Edit] = {}
        self.highest_accepted = 0
        self.highest_applied = 0

    def teardown(self) -> None:
        """Close the event loop."""
        self.loop.close()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine to completion."""
        return self.loop.run_until_complete(coroutine)

    @rule(down=st.booleans())
    def switch_table(self, down: bool) -> None:
        """Take the table down or up."""
        self.table.down = down

    @rule(
        target=unconfirmed,
        base_lag=st.integers(0, 2),
        edits=st.lists(EDITS, min_size=1, max_size=3),
        pauses=st.lists(st.integers(0, 3), min_size=1, max_size=8),
        lost_responses=st.integers(0, 3),
    )
    def submit_concurrently(
        self,
        base_lag: int,
        edits: list[tuple[Operation, ...]],
        pauses: list[int],
        lost_responses: int,
    ) -> Any:
        """Send several edits with the same base revision concurrently."""
        base = max(0, self.table_head() - base_lag)
        self.table.lose_answers = lost_responses
        self.table.delay = _create_delay(pauses)
        sent = [Edit(base, operations, "x") for operations in edits]
        outcomes = self.run(_async_gather(*(self._async_send(edit) for edit in sent)))
        self.table.delay = None
        self.table.lose_answers = 0
        assert sum(isinstance(outcome, Ok) for outcome in outcomes) <= 1
        for edit, outcome in zip(sent, outcomes, strict=True):
            self.check_outcome(edit, outcome)
        unconfirmed_edits = [
            e for e, o in zip(sent, outcomes, strict=True) if o is None
        ]
        return unconfirmed_edits[0] if unconfirmed_edits else sent[0]

    @rule(edit=consumes(unconfirmed))
    def repeat(self, edit: Edit) -> None:
        """Retry an edit, as a client does after a lost response."""
        self.check_outcome(edit, self.run(self._async_send(edit)))

    @precondition(lambda self: not self.table.down)
    @rule()
    def poll(self) -> None:
        """Update the replica from the table."""
        self.run(async_fetch_missing(self.replica, self.table))
        assert self.replica.state.config.revision == self.table_head()
        assert self.replica.state.config.objects == self.replay()

    @rule(first=st.integers(1, 9), count=st.integers(1, 3))
    def deliver(self, first: int, count: int) -> None:
        """Deliver accepted changes over a link, possibly old ones or with a gap."""
        revisions = range(first, min(first + count, self.table_head() + 1))
        changes = tuple(self.change_at(revision) for revision in revisions)
        self.replica.async_dispatch(ConfigChangesReceived(changes))

    @precondition(lambda self: not self.table.down)
    @rule()
    def read_snapshot(self) -> None:
        """Compare the objects in the table with the replayed changes."""
        snapshot = self.run(async_load_snapshot(self.table))
        assert (snapshot.revision, snapshot.objects) == (
            self.table_head(),
            self.replay(),
        )

    @invariant()
    def accepted_edits_are_kept(self) -> None:
        """Check that every accepted edit is stored at its revision."""
        for revision, edit in self.accepted.items():
            assert self.change_at(revision).operations == edit.operations
            assert self.change_at(revision).token == edit.token

    @invariant()
    def revisions_never_decrease(self) -> None:
        """Check that the revisions of the table and the replica do not decrease."""
        assert self.table_head() >= self.highest_accepted
        assert self.replica.state.config.revision >= self.highest_applied
        self.highest_accepted = self.table_head()
        self.highest_applied = self.replica.state.config.revision

    def check_outcome(self, edit: Edit, outcome: Outcome) -> None:
        """Check an outcome against the model and the table."""
        if isinstance(outcome, Ok):
            revision = outcome.ok_value.revision
            assert revision == edit.base_revision + 1
            assert self.accepted.setdefault(revision, edit).token == edit.token
        if isinstance(outcome, Err):
            # A conflict guarantees that the edit is not accepted and never will be.
            tokens = {self.change_at(n).token for n in range(1, self.table_head() + 1)}
            assert edit.token not in tokens
            assert outcome.err_value.operations == edit.operations
            expected = range(edit.base_revision + 1, outcome.err_value.revision + 1)
            got = [change.revision for change in outcome.err_value.accepted]
            assert got == list(expected)

    async def _async_send(self, edit: Edit) -> Outcome:
        try:
            return await async_edit(self.table, edit)
        except TableUnavailableError:
            return None

    def table_head(self) -> int:
        """Return the accepted revision, bypassing fault injection."""
        row = self.table.rows.get("config/head")
        return int(row.value["revision"]) if row else 0

    def change_at(self, revision: int) -> Change:
        """Return a change, bypassing fault injection."""
        row = self.table.rows[f"config/change/{revision:012d}"]
        return Change.model_validate(row.value["change"])

    def replay(self) -> dict[ObjectKey, AnyObject]:
        """Return the objects that result from all changes."""
        objects: dict[ObjectKey, AnyObject] = {}
        for revision in range(1, self.table_head() + 1):
            apply_operations(objects, self.change_at(revision).operations)
        return objects


async def _async_gather(*coroutines: Awaitable[Any]) -> list[Any]:
    return list(await asyncio.gather(*coroutines))


def _create_delay(pauses: list[int]) -> Any:
    """Return a delay that interleaves concurrent calls according to `pauses`."""
    remaining = list(pauses)

    async def async_delay() -> None:
        for _ in range(remaining.pop() if remaining else 0):
            await asyncio.sleep(0)

    return async_delay


TestEdits = EditMachine.TestCase


async def test_retried_edit_is_accepted_although_a_later_edit_followed() -> None:
    """The retried commit conflicts, but the edit was accepted before the other one."""
    table = FakeTable()
    other = Edit(1, _put_team("b"), "other")
    attempts = 0

    async def async_commit_other_edit() -> None:
        nonlocal attempts
        attempts += table.commits > 0
        if attempts == 1:
            table.delay = None
            assert isinstance(await async_edit(table, other), Ok)

    table.lose_answers = 1
    table.delay = async_commit_other_edit
    outcome = await async_edit(table, Edit(0, _put_team("a"), "first"))
    assert isinstance(outcome, Ok)
    assert await async_load_revision(table) == 2


async def test_last_operation_on_an_object_is_applied() -> None:
    """A transaction is unordered: its delete would override the later put."""
    table = FakeTable()
    delete = DeleteObject(kind=ObjectKind.TEAM, name="a")
    await async_edit(table, Edit(0, (delete, *_put_team("a")), "x"))
    assert set((await async_load_snapshot(table)).objects) == {(ObjectKind.TEAM, "a")}


async def test_snapshot_read_during_an_edit_is_exact() -> None:
    """Without the changes, a paged read would mix objects of two revisions."""
    table = FakeTable()
    for revision in range(3):
        await async_edit(table, Edit(revision, _put_team("a", revision + 1), "x"))
    reads = 0

    async def async_edit_between_reads() -> None:
        nonlocal reads
        reads += 1
        if reads == 2:
            table.delay = None
            await async_edit(table, Edit(3, _put_team("b", 7), "x"))

    table.delay = async_edit_between_reads
    snapshot = await async_load_snapshot(table)
    assert snapshot.revision == 4
    assert {item.name for item in snapshot.objects.values()} == {"a", "b"}


async def test_large_gap_is_fetched_as_a_snapshot() -> None:
    """Reading thousands of changes one by one would exceed the read budget."""
    table = FakeTable()
    for revision in range(MAX_CHANGES_READ + 1):
        await async_edit(table, Edit(revision, _put_team("a", revision % 9 + 1), "x"))
    runtime = _create_runtime()
    table.reads = 0
    await async_fetch_missing(runtime, table)
    assert runtime.state.config.revision == MAX_CHANGES_READ + 1
    assert table.reads < MAX_CHANGES_READ


async def test_changes_stop_at_the_first_missing_one() -> None:
    """Changes after a missing one must not be applied without it."""
    table = FakeTable()
    for revision in range(3):
        await async_edit(table, Edit(revision, _put_team("a"), "x"))
    del table.rows["config/change/000000000002"]
    assert [c.revision for c in await async_load_changes(table, 0)] == [1]


async def test_edit_raises_while_the_table_is_down() -> None:
    """An unconfirmed edit must not look accepted or refused."""
    table = FakeTable()
    table.down = True
    with pytest.raises(TableUnavailableError):
        await async_edit(table, Edit(0, _put_team("a"), "x"))
