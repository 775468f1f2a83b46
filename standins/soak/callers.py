"""Callers that check every response."""

import asyncio
import itertools
import random
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from .const import (
    CALLER_PERIOD_S,
    CALLER_PORT,
    CONFIG_LIMIT_S,
    HOST_NAME,
    KEY,
    MODEL,
    RESPONSE_SLACK_S,
    ROUTE_TIMEOUT_S,
    SHARED_PART,
    STREAM_EVENTS,
)
from .environment import Environment, SoakNode
from .http import (
    Message,
    async_read_body,
    async_read_head,
    encode_message,
)
from .records import STORE, Promise

CONNECT_LIMIT_S = 1.0
RESPONSE_LIMIT_S = 8.0
MS_PER_S = 1000
OK = 200
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
REJECTION_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 431})
UNREACHED = "no connection"
# The node closed a kept connection before it read the request.
CROSSED = "closed before"
# Share of the requests that use a kept connection.
KEPT_SHARE = 0.5

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class RequestKind(StrEnum):
    """Kinds of requests; each has a route of the same name."""

    CHAT = "chat"
    COMMAND = "command"
    # A chat whose route allows a single attempt.
    ONCE = "once"
    READ = "read"

    @property
    def is_stream(self) -> bool:
        """Return whether a group responds with a stream of events."""
        return self in {RequestKind.CHAT, RequestKind.ONCE}


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request of a caller, with a unique id."""

    attempt_id: str
    node: SoakNode
    kind: RequestKind
    path: str
    # Prompt parts that the request shares with others.
    parts: tuple[str, ...] = (SHARED_PART,)
    # Whether to use a connection that is kept open.
    kept: bool = False

    def encode(self) -> bytes:
        """Return the request in its HTTP form."""
        method = "GET" if self.kind is RequestKind.READ else "POST"
        headers = {
            "host": HOST_NAME,
            "x-attempt-id": self.attempt_id,
            "authorization": f"Token {KEY}",
            "x-deadline-milliseconds": str(round(ROUTE_TIMEOUT_S * MS_PER_S)),
        }
        if not self.kept:
            headers["connection"] = "close"
        if self.kind.is_stream:
            headers["x-model"] = MODEL
            parts = (*self.parts, f"own-{self.attempt_id}")
            headers["x-prompt-prefix"] = ",".join(f"{part}:20" for part in parts)
        return encode_message(f"{method} {self.path} HTTP/1.1", headers)

    def expected_body(self) -> bytes:
        """Return the complete response body, which is the same from any server."""
        if self.kind.is_stream:
            events = (
                f"id: {number}\ndata: {self.path} {number}\n\n"
                for number in range(1, STREAM_EVENTS + 1)
            )
            return "".join(events).encode()
        return f"{self.path} {self.attempt_id}".encode()


@dataclass(slots=True)
class Callers:
    """Sends requests to all nodes and checks the responses against the promises."""

    env: Environment
    _ids: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    # Idle connections by node.
    _idle: defaultdict[str, list[Connection]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            for _, writer in idle:
                writer.transport.abort()

    async def async_run(self) -> None:
        """Send requests until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                for node in self.env.nodes:
                    kind = random.choice(list(RequestKind))
                    kept = random.random() < KEPT_SHARE
                    tasks.create_task(self.async_call(node, kind, kept=kept))
                await asyncio.sleep(random.uniform(0.5, 1.5) * CALLER_PERIOD_S)

    async def async_call(
        self,
        node: SoakNode,
        kind: RequestKind,
        prefix: str | None = None,
        *,
        parts: tuple[str, ...] = (SHARED_PART,),
        kept: bool = False,
    ) -> str:
        """Send one request; return its status, or the reason for having none."""
        number = next(self._ids)
        path = f"{prefix or f'/{kind}/'}{number}"
        attempt = Attempt(f"a{number}", node, kind, path, parts, kept)
        self.env.records.node_by_attempt[attempt.attempt_id] = node.name
        self.env.records.begun_s[attempt.attempt_id] = self.env.records.now_s()
        # Only requests that were sent while the program was running are checked.
        was_running = node.process.is_running
        started_s = self.env.records.now_s()
        outcome = await self._async_send(attempt)
        self.env.records.outcomes[f"{kind} {outcome}"] += 1
        if was_running:
            self._check_outcome(attempt, outcome, started_s)
        return outcome

    async def _async_send(self, attempt: Attempt) -> str:
        connection = self._pop_idle(attempt)
        reused = connection is not None
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                reader, writer = connection or await asyncio.open_connection(
                    attempt.node.host, CALLER_PORT
                )
        except (OSError, TimeoutError):
            return UNREACHED
        message: Message | None = None
        keep = False
        try:
            async with asyncio.timeout(RESPONSE_LIMIT_S):
                writer.write(attempt.encode())
                message = await async_read_head(reader)
                if message.status == OK:
                    self._check_head(attempt, message)
                body = await async_read_body(reader, message)
            keep = attempt.kept and message.headers.get("connection") != "close"
        except OSError as exc:
            ran = bool(self.env.records.runs.get(attempt.attempt_id))
            if reused and message is None and not ran:
                return CROSSED
            return f"cut: {exc}"
        except TimeoutError:
            return "no answer"
        finally:
            if keep:
                self._idle[attempt.node.name].append((reader, writer))
            else:
                writer.transport.abort()
        if message.status == OK and body != attempt.expected_body():
            text = f"{attempt.attempt_id} got {body[:200]!r}"
            self.env.records.record_violation(Promise.OWN_RESPONSE, text)
        return str(message.status)

    def _pop_idle(self, attempt: Attempt) -> Connection | None:
        idle = self._idle[attempt.node.name]
        while attempt.kept and idle:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.transport.abort()
        return None

    def _check_head(self, attempt: Attempt, message: Message) -> None:
        if not message.headers.get("x-response-seal"):
            text = f"{attempt.attempt_id} got {message.headers}"
            self.env.records.record_violation(Promise.OWN_RESPONSE, text)

    def _check_outcome(self, attempt: Attempt, outcome: str, started_s: float) -> None:
        records = self.env.records
        if outcome.isdigit() and int(outcome) in NOT_RUN_STATUSES:
            if attempt.kind is RequestKind.COMMAND:
                records.not_run[attempt.attempt_id] = int(outcome)
        elif outcome.isdigit() and int(outcome) in REJECTION_STATUSES:
            self._check_rejection(attempt, outcome)
        if not records.is_undisturbed(attempt.node.name, STORE):
            return
        took_s = records.now_s() - started_s
        if took_s > ROUTE_TIMEOUT_S + RESPONSE_SLACK_S:
            text = (
                f"{attempt.attempt_id} at {attempt.node.name}:"
                f" {outcome}, {took_s:.2f} s"
            )
            records.record_violation(Promise.IN_TIME, text)

    def _check_rejection(self, attempt: Attempt, outcome: str) -> None:
        records = self.env.records
        prefix = f"/{attempt.path.split('/')[1]}/"
        added_s = self.env.added_at_s.get(prefix)
        text = f"{attempt.path} at {attempt.node.name} got {outcome}"
        if added_s is None:
            records.record_violation(Promise.ALLOWED, text)
            return
        age_s = records.now_s() - added_s
        undisturbed = records.is_undisturbed(attempt.node.name, STORE)
        if undisturbed and age_s > CONFIG_LIMIT_S + RESPONSE_SLACK_S:
            records.record_violation(
                Promise.CONFIG, f"{text}, {age_s:.2f} s after its addition"
            )
