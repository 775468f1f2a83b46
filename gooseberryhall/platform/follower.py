"""Follower of one table of the platform's store."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .exceptions import HistoryLostError, StoreError
from .store import RowSet, Store

_LOGGER = logging.getLogger(__name__)

MIN_RETRY_DELAY_S: Final = 0.3
MAX_DOUBLINGS: Final = 8


@dataclass(frozen=True, slots=True)
class TableListener:
    """Callbacks and periods for a follower of one table."""

    table: str
    on_snapshot: Callable[["Snapshot"], None]
    on_rows: Callable[[RowSet], None]
    on_store_state: Callable[[bool], None]
    async_wait_needed: Callable[[], Awaitable[bool]]
    wait_s: Callable[[], float]
    max_retry_delay_s: Callable[[], float]
    pause_s: Callable[[], float] = lambda: 0.0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All rows of a table, as the store returned them."""

    rows: RowSet
    # Time since the first of the calls that failed before this one.
    failed_s: float
    # Whether the store went back a moment ago, so that rows may not be written again
    # yet.
    restoring: bool


@dataclass(slots=True)
class TableFollower:
    """Reads a table and follows its changes; reads it again after each gap.

    Versions are comparable within one era of the store. In another era the same
    version may stand for other changes, so the table is read again.
    """

    store: Store
    listener: TableListener
    # Rows up to which the listener is informed; None if the table must be read.
    _known: RowSet | None = None
    # Whether rows that the store lost may have been missing in the last snapshot.
    _restoring: bool = False
    _failures: int = 0
    _failed_since_s: float = 0.0

    async def async_follow(self) -> None:
        """Notify the listener of changes until cancelled."""
        listener = self.listener
        while True:
            if await listener.async_wait_needed():
                self._known = None
                self._failures = 0
            try:
                await self._async_follow_once()
                self._failures = 0
                listener.on_store_state(True)
                await asyncio.sleep(listener.pause_s())
            except HistoryLostError:
                self._known = None
            except Exception as exc:  # noqa: BLE001
                # Nothing else reads this table, so no error may end the task.
                self._record_failure(exc)
                listener.on_store_state(False)
                await asyncio.sleep(
                    _retry_delay_s(self._failures, listener.max_retry_delay_s())
                )

    async def _async_follow_once(self) -> None:
        """Notify the listener of changes. Raises `StoreError`."""
        restoring_s = self.store.era.restoring_s(_now_s())
        if self._restoring and not restoring_s:
            # What is still missing is gone.
            self._known = None
        known = self._known
        if known is None:
            await self._async_read()
            return
        wait_s = self.listener.wait_s()
        if self._restoring:
            wait_s = min(wait_s, restoring_s)
        rows = await self.store.async_watch(self.listener.table, known.version, wait_s)
        if rows.era != known.era:
            raise HistoryLostError(f"{self.listener.table}: versions of another era")
        self.listener.on_rows(rows)
        self._known = rows

    async def _async_read(self) -> None:
        failed_s = _now_s() - self._failed_since_s if self._failures else 0.0
        rows = await self.store.async_read(self.listener.table)
        if self._failures:
            _log(
                LogEvent.STORE_REGAINED,
                "store is available again",
                self.listener.table,
            )
        self._restoring = self.store.era.restoring_s(_now_s()) > 0
        self.listener.on_snapshot(Snapshot(rows, failed_s, self._restoring))
        self._known = rows

    def _record_failure(self, exc: Exception) -> None:
        table = self.listener.table
        if not isinstance(exc, StoreError):
            log_event(
                _LOGGER,
                LogEvent.FOLLOWER_FAILED,
                "changes of a table could not be applied; reading it again",
                level=logging.ERROR,
                table=table,
                exc_info=True,
            )
        elif not self._failures:
            _log(LogEvent.STORE_LOST, str(exc), table)
        if not self._failures:
            self._failed_since_s = _now_s()
        self._failures += 1
        self._known = None


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _retry_delay_s(failures: int, max_delay_s: float) -> float:
    """Return a delay with exponential backoff and jitter."""
    longest_s = min(
        max_delay_s, MIN_RETRY_DELAY_S * 2 ** min(failures - 1, MAX_DOUBLINGS)
    )
    return random.uniform(longest_s / 2, longest_s)


def _log(event: LogEvent, message: str, table: str) -> None:
    log_event(_LOGGER, event, message, table=table)
