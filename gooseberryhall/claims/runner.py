"""Runs commands at most once."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field, replace
from typing import Any

from result import Err, Ok

from ..adapters.exceptions import ObjectStoreUnavailableError, TableUnavailableError
from ..adapters.objects import ObjectStore
from ..adapters.table import Row, Table, Transaction
from ..core.clock import wall_time_s
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .budget import WriteBudget
from .const import (
    CLAIM_TIMEOUT_S,
    CLAIM_WAIT_TIMEOUT_S,
    INLINE_BODY_BYTES,
    POLL_GROWTH,
    POLL_INITIAL_S,
    POLL_MAX_S,
    SETTLE_RETRY_INITIAL_S,
    SETTLE_RETRY_MAX_S,
    WRITES_PER_CLAIM,
)
from .decision import AcquireClaim, RefuseRequest, ReplayResponse, WaitForClaim, decide
from .exceptions import (
    ClaimError,
    ClaimsUnavailableError,
    ClaimUnreadableError,
    IdempotencyKeyReusedError,
    NotSentError,
    OutcomeUnknownError,
    StoredResponseUnavailableError,
)
from .metrics import CLAIMS, REFUSED, UNSETTLED
from .models import Claim, ClaimState, CommandRequest, CommandResponse

_LOGGER = logging.getLogger(__name__)

SendCommand = Callable[[], Awaitable[CommandResponse]]
"""Sends the request once, over a new connection.

Raises NotSentError when no connection was established, and OutcomeUnknownError when
the request may have reached the service but no response arrived.
"""


@dataclass(slots=True)
class _RunningCommand:
    """A command that this process is handling."""

    body_sha256: str
    task: asyncio.Task[CommandResponse]


@dataclass(slots=True)
class ClaimService:
    """Claim commands in the table, send them and store their responses."""

    table: Table
    objects: ObjectStore
    budget: WriteBudget
    node: str
    incarnation: str
    wall_clock: Callable[[], float] = wall_time_s
    _running: dict[str, _RunningCommand] = field(default_factory=dict)
    _settling: set[asyncio.Task[None]] = field(default_factory=set)

    async def async_run_once(
        self, req: CommandRequest, send: SendCommand, timeout_s: float
    ) -> CommandResponse:
        """Run a command at most once and return the response of that run.

        The run continues when the caller disconnects, so that a retry gets its
        response. Raises ClaimError, and TimeoutError when it takes longer than
        `timeout_s`.
        """
        running = self._running.get(req.row_key)
        if running is None:
            running = self._start(req, send, timeout_s)
        elif running.body_sha256 != req.body_sha256:
            raise IdempotencyKeyReusedError(
                "Idempotency-Key is in use for another request"
            )
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(running.task)
        except ClaimError as exc:
            REFUSED.inc({"code": exc.code})
            raise

    async def async_drain(self, timeout_s: float) -> None:
        """Wait until running commands and the writes of final states have ended."""
        tasks: set[asyncio.Task[Any]] = {item.task for item in self._running.values()}
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)
        if self._settling:
            await asyncio.wait(self._settling, timeout=timeout_s)

    def _start(
        self, req: CommandRequest, send: SendCommand, timeout_s: float
    ) -> _RunningCommand:
        task = asyncio.create_task(self._async_run(req, send, timeout_s))
        running = _RunningCommand(req.body_sha256, task)
        self._running[req.row_key] = running

        def on_done(done: asyncio.Task[CommandResponse]) -> None:
            del self._running[req.row_key]
            # The caller may have disconnected; asyncio would log an exception that
            # nobody retrieves.
            if not done.cancelled():
                done.exception()

        task.add_done_callback(on_done)
        return running

    async def _async_run(
        self, req: CommandRequest, send: SendCommand, timeout_s: float
    ) -> CommandResponse:
        acquired = await self._async_acquire_or_replay(req, timeout_s)
        if isinstance(acquired, CommandResponse):
            return acquired
        claim, row_version = acquired
        settlement = _Settlement(self, req.row_key, claim, row_version)
        try:
            response = await send()
        except NotSentError:
            settlement.start(ClaimState.ABANDONED)
            raise
        except OutcomeUnknownError:
            settlement.start(ClaimState.UNKNOWN)
            raise
        except BaseException:
            # After an unexpected error the request may have reached the service.
            settlement.start(ClaimState.UNKNOWN)
            raise
        settlement.start(ClaimState.DONE, response)
        return response

    async def _async_acquire_or_replay(
        self, req: CommandRequest, timeout_s: float
    ) -> CommandResponse | tuple[Claim, int]:
        """Return the stored response, or the acquired claim and its row version."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + min(timeout_s, CLAIM_WAIT_TIMEOUT_S)
        # Reading and writing share one timeout, so that a table that is slow at both
        # does not delay the refusal.
        claim_deadline_s = loop.time() + CLAIM_TIMEOUT_S
        row = await self._async_read(req.row_key)
        pause_s = POLL_INITIAL_S
        while True:
            decision = decide(row, req.body_sha256, self.wall_clock())
            match decision:
                case RefuseRequest(error):
                    raise error
                case ReplayResponse(claim):
                    return await self._async_load_response(claim)
                case AcquireClaim(version):
                    acquired = await self._async_acquire(req, version, claim_deadline_s)
                    if isinstance(acquired, tuple):
                        return acquired
                    row = acquired
                    continue
                case WaitForClaim(error):
                    if loop.time() + pause_s > deadline_s:
                        raise error
                    await asyncio.sleep(pause_s)
                    pause_s = min(pause_s * POLL_GROWTH, POLL_MAX_S)
                    claim_deadline_s = loop.time() + CLAIM_TIMEOUT_S
                    row = await self._async_reread(req.row_key, row)

    async def _async_read(self, row_key: str) -> Row | None:
        try:
            return await self.table.async_read(row_key)
        except TableUnavailableError as exc:
            raise ClaimUnreadableError(
                "the table is not available, the request was not sent"
            ) from exc

    async def _async_reread(self, row_key: str, row: Row | None) -> Row | None:
        """Read a row again; return the last one read while the table is unavailable.

        An error with `ran: no` would be wrong here, because the earlier request with
        this key may be running.
        """
        try:
            return await self.table.async_read(row_key)
        except TableUnavailableError:
            return row

    async def _async_acquire(
        self, req: CommandRequest, version: int, claim_deadline_s: float
    ) -> tuple[Claim, int] | Row | None:
        """Return the claim and its version, or the row that another writer stored."""
        loop = asyncio.get_running_loop()
        try:
            await self.budget.async_acquire(
                req.team, req.weight, WRITES_PER_CLAIM, claim_deadline_s - loop.time()
            )
        except TimeoutError as exc:
            raise ClaimsUnavailableError("the table's write budget is used up") from exc
        remaining_s = claim_deadline_s - loop.time()
        if remaining_s <= 0:
            raise ClaimsUnavailableError("the table is slow, the request was not sent")
        claim = Claim(
            req.body_sha256,
            self.node,
            self.incarnation,
            self.wall_clock(),
            ClaimState.CLAIMED,
        )
        transaction = Transaction(
            {req.row_key: version}, {req.row_key: claim.to_value()}
        )
        try:
            committed = await self.table.async_commit(transaction, remaining_s)
        except TableUnavailableError as exc:
            _Settlement(self, req.row_key, claim, version, transaction).start(
                ClaimState.ABANDONED
            )
            raise ClaimsUnavailableError(
                "the claim was not confirmed in time, the request was not sent"
            ) from exc
        match committed:
            case Ok(revision):
                return claim, revision
            case Err(conflict):
                return conflict.rows.get(req.row_key)

    async def _async_load_response(self, claim: Claim) -> CommandResponse:
        response = claim.response
        if response is None:
            raise StoredResponseUnavailableError("the claim holds no answer")
        if claim.object_key is None:
            return response
        try:
            body = await self.objects.async_get(claim.object_key)
        except ObjectStoreUnavailableError as exc:
            raise StoredResponseUnavailableError("object store not available") from exc
        if body is None:
            raise StoredResponseUnavailableError("the stored answer was not found")
        return replace(response, body=body)

    def async_settle(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Write the final state of a claim in the background."""
        task = asyncio.create_task(coroutine)
        self._settling.add(task)
        UNSETTLED.set({}, len(self._settling))

        def on_done(done: asyncio.Task[None]) -> None:
            self._settling.discard(done)
            UNSETTLED.set({}, len(self._settling))

        task.add_done_callback(on_done)


@dataclass(slots=True)
class _Settlement:
    """Retries the write of a claim's final state until the table confirms it.

    `unconfirmed_claim` is the write of the claim when its outcome is unknown. It is
    repeated first, so that it cannot be applied after the final state was written.
    """

    service: ClaimService
    row_key: str
    claim: Claim
    version: int
    unconfirmed_claim: Transaction | None = None

    def start(self, state: ClaimState, response: CommandResponse | None = None) -> None:
        """Start to write the final state in the background."""
        CLAIMS.inc({"state": state.value})
        self.service.async_settle(self._async_settle(state, response))

    async def _async_settle(
        self, state: ClaimState, response: CommandResponse | None
    ) -> None:
        pause_s = SETTLE_RETRY_INITIAL_S
        while True:
            try:
                await self._async_write_state(state, response)
            except (TableUnavailableError, ObjectStoreUnavailableError) as exc:
                log_event(
                    _LOGGER,
                    LogEvent.CLAIM_SETTLE_RETRY,
                    "final state of a claim not stored; retrying",
                    level=logging.WARNING,
                    state=state,
                    error=str(exc),
                )
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2, SETTLE_RETRY_MAX_S)
            else:
                return

    async def _async_write_state(
        self, state: ClaimState, response: CommandResponse | None
    ) -> None:
        if self.unconfirmed_claim is not None:
            committed = await self.service.table.async_commit(self.unconfirmed_claim)
            self.unconfirmed_claim = None
            if isinstance(committed, Err):
                # Another process has written the row, so the claim was not applied and
                # never will be.
                return
            self.version = committed.ok_value
        claim = replace(self.claim, state=state)
        if response is not None:
            claim = await self._async_store_response(claim, response)
        transaction = Transaction(
            {self.row_key: self.version}, {self.row_key: claim.to_value()}
        )
        await self.service.table.async_commit(transaction)

    async def _async_store_response(
        self, claim: Claim, response: CommandResponse
    ) -> Claim:
        if len(response.body) <= INLINE_BODY_BYTES:
            return replace(claim, response=response)
        object_key = self.row_key.replace("claim/", "answers/", 1)
        await self.service.objects.async_put(object_key, response.body)
        return replace(
            claim, response=replace(response, body=b""), object_key=object_key
        )
