"""Runs non-idempotent requests at most once."""

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
    CLAIM_LIMIT_S,
    CLAIM_WAIT_LIMIT_S,
    INLINE_BODY_BYTES,
    POLL_FIRST_S,
    POLL_GROWTH,
    POLL_LONGEST_S,
    SETTLE_RETRY_FIRST_S,
    SETTLE_RETRY_LONGEST_S,
    WRITES_PER_CLAIM,
)
from .decision import RefuseRequest, ReplayAnswer, TakeClaim, WaitForClaim, decide
from .exceptions import (
    ClaimError,
    ClaimsUnavailableError,
    ClaimUnreadableError,
    IdempotencyKeyReusedError,
    NotSentError,
    OutcomeUnknownError,
    StoredAnswerUnavailableError,
)
from .metrics import CLAIMS, REFUSED, UNSETTLED
from .models import Claim, ClaimState, CommandRequest, CommandResponse

_LOGGER = logging.getLogger(__name__)

Send = Callable[[], Awaitable[CommandResponse]]
"""Send the request once, over a new connection.

Raises NotSentError when no connection was established, OutcomeUnknownError when the
request may have reached the service.
"""


@dataclass(slots=True)
class _Running:
    """A request that this process is handling."""

    body_sha256: str
    task: asyncio.Task[CommandResponse]


@dataclass(slots=True)
class ClaimService:
    """Claim requests in the table, send them and keep their answers."""

    table: Table
    objects: ObjectStore
    budget: WriteBudget
    node: str
    incarnation: str
    wall_clock: Callable[[], float] = wall_time_s
    _running: dict[str, _Running] = field(default_factory=dict)
    _settling: set[asyncio.Task[None]] = field(default_factory=set)

    async def async_run_once(
        self, req: CommandRequest, send: Send, timeout_s: float
    ) -> CommandResponse:
        """Return the answer of the one run of this request.

        The run goes on when the caller disconnects, so that a retry finds its answer.
        Raises ClaimError, and TimeoutError when the run takes longer than `timeout_s`.
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
        """Wait until all running requests and their last writes have ended."""
        tasks: set[asyncio.Task[Any]] = {item.task for item in self._running.values()}
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)
        if self._settling:
            await asyncio.wait(self._settling, timeout=timeout_s)

    def _start(self, req: CommandRequest, send: Send, timeout_s: float) -> _Running:
        task = asyncio.create_task(self._async_run(req, send, timeout_s))
        running = _Running(req.body_sha256, task)
        self._running[req.row_key] = running

        def on_done(done: asyncio.Task[CommandResponse]) -> None:
            del self._running[req.row_key]
            # The caller may be gone; reading the error marks it as seen.
            if not done.cancelled():
                done.exception()

        task.add_done_callback(on_done)
        return running

    async def _async_run(
        self, req: CommandRequest, send: Send, timeout_s: float
    ) -> CommandResponse:
        taken = await self._async_take_or_replay(req, timeout_s)
        if isinstance(taken, CommandResponse):
            return taken
        claim, row_version = taken
        settle = _Settlement(self, req.row_key, claim, row_version)
        try:
            answer = await send()
        except NotSentError:
            settle.start(ClaimState.ABANDONED)
            raise
        except OutcomeUnknownError:
            settle.start(ClaimState.UNKNOWN)
            raise
        except BaseException:
            # An unforeseen error says nothing about what reached the service.
            settle.start(ClaimState.UNKNOWN)
            raise
        settle.start(ClaimState.DONE, answer)
        return answer

    async def _async_take_or_replay(
        self, req: CommandRequest, timeout_s: float
    ) -> CommandResponse | tuple[Claim, int]:
        """Return the stored answer, or the claim that was taken and its row version."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + min(timeout_s, CLAIM_WAIT_LIMIT_S)
        # Reading and writing share the limit, so that a table that is slow at both
        # does not delay the refusal.
        claim_by_s = loop.time() + CLAIM_LIMIT_S
        row = await self._async_read(req.row_key)
        pause_s = POLL_FIRST_S
        while True:
            decision = decide(row, req.body_sha256, self.wall_clock())
            match decision:
                case RefuseRequest(error):
                    raise error
                case ReplayAnswer(claim):
                    return await self._async_stored_answer(claim)
                case TakeClaim(version):
                    taken = await self._async_take(req, version, claim_by_s)
                    if isinstance(taken, tuple):
                        return taken
                    row = taken
                    continue
                case WaitForClaim(error):
                    if loop.time() + pause_s > deadline_s:
                        raise error
                    await asyncio.sleep(pause_s)
                    pause_s = min(pause_s * POLL_GROWTH, POLL_LONGEST_S)
                    claim_by_s = loop.time() + CLAIM_LIMIT_S
                    row = await self._async_reread(req.row_key, row)

    async def _async_read(self, row_key: str) -> Row | None:
        try:
            return await self.table.async_read(row_key)
        except TableUnavailableError as exc:
            raise ClaimUnreadableError(
                "the table is not available, the request was not sent"
            ) from exc

    async def _async_reread(self, row_key: str, row: Row | None) -> Row | None:
        """Read a row again; while the table is down keep what is known.

        `ran: no` must not be said here: the earlier request with this key may run.
        """
        try:
            return await self.table.async_read(row_key)
        except TableUnavailableError:
            return row

    async def _async_take(
        self, req: CommandRequest, version: int, claim_by_s: float
    ) -> tuple[Claim, int] | Row | None:
        """Return the claim and its version, or the row that another process wrote."""
        loop = asyncio.get_running_loop()
        try:
            await self.budget.async_take(
                req.team, req.weight, WRITES_PER_CLAIM, claim_by_s - loop.time()
            )
        except TimeoutError as exc:
            raise ClaimsUnavailableError("the table's write budget is used up") from exc
        remaining_s = claim_by_s - loop.time()
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

    async def _async_stored_answer(self, claim: Claim) -> CommandResponse:
        answer = claim.answer
        if answer is None:
            raise StoredAnswerUnavailableError("the claim holds no answer")
        if claim.object_key is None:
            return answer
        try:
            body = await self.objects.async_get(claim.object_key)
        except ObjectStoreUnavailableError as exc:
            raise StoredAnswerUnavailableError("object store not available") from exc
        if body is None:
            raise StoredAnswerUnavailableError("the stored answer was not found")
        return replace(answer, body=body)

    def async_settle(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run the last write of a claim in the background."""
        task = asyncio.create_task(coroutine)
        self._settling.add(task)
        UNSETTLED.set({}, len(self._settling))

        def on_done(done: asyncio.Task[None]) -> None:
            self._settling.discard(done)
            UNSETTLED.set({}, len(self._settling))

        task.add_done_callback(on_done)


@dataclass(slots=True)
class _Settlement:
    """Writes the final state of a claim until the table confirms it.

    `unconfirmed` is the claim's own write when its outcome is not known; it is decided
    first, so that the row cannot appear after the final state was written.
    """

    service: ClaimService
    row_key: str
    claim: Claim
    version: int
    unconfirmed: Transaction | None = None

    def start(self, state: ClaimState, answer: CommandResponse | None = None) -> None:
        """Write the final state in the background."""
        CLAIMS.inc({"state": state.value})
        self.service.async_settle(self._async_settle(state, answer))

    async def _async_settle(
        self, state: ClaimState, answer: CommandResponse | None
    ) -> None:
        pause_s = SETTLE_RETRY_FIRST_S
        while True:
            try:
                await self._async_try(state, answer)
            except (TableUnavailableError, ObjectStoreUnavailableError) as exc:
                log_event(
                    _LOGGER,
                    LogEvent.CLAIM_SETTLE_RETRY,
                    "claim not settled yet",
                    level=logging.WARNING,
                    state=state,
                    error=str(exc),
                )
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2, SETTLE_RETRY_LONGEST_S)
            else:
                return

    async def _async_try(
        self, state: ClaimState, answer: CommandResponse | None
    ) -> None:
        if self.unconfirmed is not None:
            committed = await self.service.table.async_commit(self.unconfirmed)
            self.unconfirmed = None
            if isinstance(committed, Err):
                # Another process holds the key, so the claim was not and cannot be
                # applied.
                return
            self.version = committed.ok_value
        claim = replace(self.claim, state=state)
        if answer is not None:
            claim = await self._async_with_answer(claim, answer)
        transaction = Transaction(
            {self.row_key: self.version}, {self.row_key: claim.to_value()}
        )
        await self.service.table.async_commit(transaction)

    async def _async_with_answer(self, claim: Claim, answer: CommandResponse) -> Claim:
        if len(answer.body) <= INLINE_BODY_BYTES:
            return replace(claim, answer=answer)
        object_key = self.row_key.replace("claim/", "answers/", 1)
        await self.service.objects.async_put(object_key, answer.body)
        return replace(claim, answer=replace(answer, body=b""), object_key=object_key)
