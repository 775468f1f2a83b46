"""In-memory fakes that several test packages share."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from result import Err, Ok, Result

from gooseberryhall.adapters.exceptions import TableUnavailableError
from gooseberryhall.adapters.table import (
    ABSENT,
    DEFAULT_TIMEOUT_S,
    Conflict,
    Row,
    RowValue,
    Snapshot,
    Transaction,
    applied_revision,
)

# The real adapter retries a commit after a lost response, within its timeout.
COMMIT_ATTEMPTS = 2


@dataclass
class FakeObjects:
    """An object store in memory."""

    data: dict[str, bytes] = field(default_factory=dict)

    async def async_put(self, key: str, data: bytes) -> None:
        """Store data."""
        self.data[key] = data

    async def async_get(self, key: str) -> bytes | None:
        """Return the data, or None."""
        return self.data.get(key)

    async def async_delete(self, key: str) -> None:
        """Remove data."""
        self.data.pop(key, None)


class FakeTable:
    """A transactional table in memory with the outcomes of the real adapter.

    While `down` is set, every call fails and is counted in `refused`. `lose_answers` is
    the number of next commit attempts that are applied but whose response is lost: the
    retry recovers one; after two, the commit raises although it was applied. `delay`
    is awaited before each read and each commit attempt.
    """

    def __init__(self) -> None:
        """Create an empty table without faults."""
        self.down = False
        self.lose_answers = 0
        self.delay: Callable[[], Awaitable[None]] | None = None
        self.revision = 0
        self.rows: dict[str, Row] = {}
        self.reads = 0
        self.commits = 0
        self.refused = 0

    def put(self, key: str, value: RowValue) -> Row:
        """Write a row without checks, like another client of the table."""
        self.revision += 1
        self.rows[key] = Row(key, self.revision, dict(value))
        return self.rows[key]

    async def async_read(self, key: str) -> Row | None:
        """Return a row or None. Raises TableUnavailableError."""
        await self._async_inject_faults()
        self.reads += 1
        return self.rows.get(key)

    async def async_read_prefix(self, prefix: str) -> Snapshot:
        """Return all rows whose key has the prefix. Raises TableUnavailableError."""
        await self._async_inject_faults()
        self.reads += 1
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return Snapshot(self.revision, tuple(self.rows[key] for key in keys))

    async def async_commit(
        self, transaction: Transaction, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> Result[int, Conflict]:
        """Apply a transaction; Ok holds the revision of the write.

        Raises TableUnavailableError when the outcome is not known.
        """
        for _ in range(COMMIT_ATTEMPTS):
            await self._async_inject_faults()
            self.commits += 1
            outcome = self._apply(transaction)
            if not self.lose_answers:
                return outcome
            self.lose_answers -= 1
        raise TableUnavailableError("commit was not confirmed in time")

    async def _async_inject_faults(self) -> None:
        if self.delay is not None:
            await self.delay()
        if self.down:
            self.refused += 1
            raise TableUnavailableError("table is down")

    def _apply(self, transaction: Transaction) -> Result[int, Conflict]:
        conflict = self._find_conflict(transaction.checks)
        if conflict is not None:
            applied = applied_revision(transaction, conflict)
            return Err(conflict) if applied is None else Ok(applied)
        self.revision += 1
        for key, value in transaction.puts_with_token().items():
            self.rows[key] = Row(key, self.revision, value)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return Ok(self.revision)

    def _find_conflict(self, checks: Mapping[str, int]) -> Conflict | None:
        rows = {key: self.rows.get(key) for key in checks}
        differing = {
            key: row
            for key, row in rows.items()
            if (row.version if row else ABSENT) != checks[key]
        }
        return Conflict(differing) if differing else None
