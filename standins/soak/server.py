"""Stand-ins for plain servers and model servers that follow the platform's protocol."""

import asyncio
import json
import random
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

from ..proxy import FaultProxy
from .const import (
    ARRIVAL_SLACK_S,
    COLD_LIMIT,
    CRASHING_PART,
    DRAIN_LIMIT_S,
    EVACUATION_LIMIT_S,
    EVENT_INTERVAL_S,
    FORMATION_S,
    LOAD_S,
    MAX_ARRIVALS_IN_PAUSE,
    MODEL_SERVICE,
    PAUSE_SLACK_S,
    PLAIN_WORK_S,
    REJOIN_S,
    SLOTS,
    STALL_S,
    STREAM_EVENTS,
    TEAM,
    WARMUP_S,
)
from .http import (
    MAX_HEAD_BYTES,
    Message,
    async_read_body,
    async_read_head,
    encode_chunk,
    encode_message,
)
from .records import STORE, Promise, Records

_REASON_PHRASE = "X"


@dataclass(slots=True)
class Membership:
    """Membership of a server in a group; the first member is the leader."""

    group: str
    epoch: int
    members: list[str]
    state: str = "joining"

    @property
    def key(self) -> tuple[str, int]:
        """Return the name and epoch that identify the group."""
        return self.group, self.epoch


@dataclass(slots=True)
class Server:
    """One incarnation of a server; `servers` holds all servers by id."""

    server_id: str
    service: str
    zone: str
    records: Records
    servers: dict[str, "Server"]
    proxy: FaultProxy | None = None
    listener: asyncio.Server | None = None
    started_at_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    is_running: bool = True
    # When the server reported that it leaves; 0 if it has not.
    leaving_s: float = 0.0
    staged: str = ""
    last_model: str = ""
    membership: Membership | None = None
    # Keys of groups of which this incarnation was a ready member.
    ready_groups: set[tuple[str, int]] = field(default_factory=set)
    fence: int = 0
    highest_epoch: int = 0
    sequence: int = 0
    orders: int = 0
    # Share of orders whose responses are lost.
    lost_response_ratio: float = 0.0
    # Until then the leader sends no events, although its group is whole.
    slow_until_s: float = 0.0
    # Until then the server sends nothing at all, like one whose VM stands still.
    paused_until_s: float = 0.0
    # Since then answers say that the server leaves, while its record does not.
    says_leaving: bool = False
    # Until then the server is cold; the arrivals are those of the last second of it.
    cold_until_s: float = 0.0
    cold_arrivals: deque[float] = field(default_factory=deque)
    # Until then the server cannot write its record.
    lapsed_until_s: float = 0.0
    # Until then requests are turned away with a pause.
    full_until_s: float = 0.0
    # When nodes passed on an answer that said that the server leaves, and until when
    # they were asked to send nothing.
    told_leaving_s: dict[str, float] = field(default_factory=dict)
    told_pause_s: dict[str, tuple[float, float]] = field(default_factory=dict)
    # Requests that arrived from nodes in a pause.
    arrivals_in_pause: Counter[str] = field(default_factory=Counter)
    running_streams: set[asyncio.Task[None]] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    stopping: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Listen on a port behind a proxy."""
        self.listener = await asyncio.start_server(
            self._async_serve, "127.0.0.1", 0, limit=MAX_HEAD_BYTES
        )
        port = self.listener.sockets[0].getsockname()[1]
        self.proxy = FaultProxy(port)
        await self.proxy.async_start()

    async def async_stop(self) -> None:
        """Stop at once, as in a crash."""
        self.is_running = False
        self._cancel_running()
        for task in self.tasks:
            task.cancel()
        if self.proxy is not None:
            await self.proxy.async_stop()
        if self.listener is not None:
            self.listener.close()

    def server_record(self) -> dict[str, Any]:
        """Return the server record, which is also the server's report."""
        membership = self.membership
        group = None
        if membership is not None:
            group = {
                "name": membership.group,
                "epoch": membership.epoch,
                "rank": membership.members.index(self.server_id),
                "state": membership.state,
            }
        port = self.proxy.port if self.proxy else 0
        cold_s = self.cold_until_s - self.records.now_s()
        return {
            "service": self.service,
            "address": f"127.0.0.1:{port}",
            "zone": self.zone,
            "state": "draining" if self.leaving_s else "ready",
            "slots": SLOTS,
            "born": self.started_at_ms,
            "sequence": self.sequence,
            "domain": f"{self.zone}-d1",
            "models": [{"name": self.last_model}] if self.last_model else [],
            "staged": [self.staged] if self.staged else [],
            "cold_remaining_ms": max(0.0, cold_s) * 1000,
            "group": group,
        }

    def is_whole(self, membership: Membership) -> bool:
        """Return whether every member is running and still belongs to the group."""
        for member in membership.members:
            server = self.servers.get(member)
            if server is None or not server.is_running or server.membership is None:
                return False
            if server.membership.key != membership.key:
                return False
        return True

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None  # noqa: S101
        self.tasks.add(task)
        try:
            while self.is_running:
                message = await async_read_head(reader)
                body = await async_read_body(reader, message)
                await self._async_handle(message, body, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    async def _async_handle(
        self, message: Message, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(max(0.0, self.paused_until_s - self.records.now_s()))
        expected = message.headers.get("x-expected-instance", self.server_id)
        if expected != self.server_id:
            self._reject(message, 421, writer)
        elif message.path == "/v1/report":
            report = {**self.server_record(), "pace": 1.0}
            cold = {"x-cold-milliseconds": f"{report['cold_remaining_ms']:.0f}"}
            content = json.dumps(report).encode()
            head = f"HTTP/1.1 200 {_REASON_PHRASE}"
            writer.write(encode_message(head, cold, content))
        elif message.path == "/v1/order":
            self._handle_order(json.loads(body), writer)
        else:
            self._check_request(message)
            self._check_statements(message)
            if self.full_until_s > self.records.now_s():
                self._ask_for_pause(message, writer)
            elif self.service == MODEL_SERVICE:
                await self._async_handle_stream(message, writer)
            else:
                await self._async_handle_plain(message, writer)
        await writer.drain()

    def _reject(
        self,
        message: Message,
        status: int,
        writer: asyncio.StreamWriter,
        extra: dict[str, str] | None = None,
    ) -> None:
        attempt_id = message.headers.get("x-attempt-id", "")
        headers = {"x-attempt-id": attempt_id, "x-not-executed": "1", **(extra or {})}
        writer.write(encode_message(f"HTTP/1.1 {status} {_REASON_PHRASE}", headers))

    def _check_request(self, message: Message) -> None:
        attempt_id = message.headers["x-attempt-id"]
        node = self.records.node_by_attempt.get(attempt_id, "")
        if message.headers.get("x-tenant") != TEAM:
            self.records.record_violation(
                Promise.TEAM, f"{attempt_id}: {message.headers}"
            )
        if "authorization" in message.headers:
            self.records.record_violation(Promise.TEAM, f"{attempt_id} carries its key")
        if not self.leaving_s or not self.records.is_undisturbed(
            node, STORE, self.server_id
        ):
            return
        late_s = self.records.now_s() - self.leaving_s - DRAIN_LIMIT_S - ARRIVAL_SLACK_S
        if late_s > 0:
            text = (
                f"{attempt_id} from {node} reached {self.server_id} {late_s:.2f} s late"
            )
            self.records.record_violation(Promise.DRAIN, text)

    def _check_arrival(self, message: Message) -> None:
        """Check a request that is not answered 421."""
        attempt_id = message.headers["x-attempt-id"]
        node = self.records.node_by_attempt.get(attempt_id, "")
        now_s = self.records.now_s()
        self.records.used.add((self.zone, self.service))
        if now_s < self.cold_until_s:
            self.cold_arrivals.append(now_s)
            while now_s - self.cold_arrivals[0] >= 1.0:
                self.cold_arrivals.popleft()
            count = len(self.cold_arrivals)
            self.records.record_peak(
                "peak of cold servers", count, COLD_LIMIT, Promise.COLD
            )
        since_s = self.records.evacuated_s.get(self.zone, now_s)
        late_s = now_s - since_s - EVACUATION_LIMIT_S - ARRIVAL_SLACK_S
        if late_s > 0 and self.records.is_undisturbed(node, STORE, self.server_id):
            text = f"{attempt_id} from {node} reached {self.zone} {late_s:.2f} s late"
            self.records.record_violation(Promise.EVACUATION, text)

    def _check_statements(self, message: Message) -> None:
        """Check that a node obeys what this server said in its answers."""
        node = self.records.node_by_attempt.get(message.headers["x-attempt-id"], "")
        now_s = self.records.now_s()
        told_s = self.told_leaving_s.get(node)
        begun_s = self.records.begun_s.get(message.headers["x-attempt-id"], 0.0)
        # Only a restart or a pause of the node since then excuses a late request.
        if (
            told_s is not None
            and begun_s - told_s > DRAIN_LIMIT_S
            and self.records.is_undisturbed(node, for_s=now_s - told_s)
        ):
            text = f"{node} sends to {self.server_id}, which said that it leaves"
            self.records.record_violation(Promise.DRAIN, text)
        since_s, until_s = self.told_pause_s.get(node, (now_s, 0.0))
        if not since_s + PAUSE_SLACK_S < now_s < until_s - ARRIVAL_SLACK_S:
            return
        if self.records.is_undisturbed(node, self.server_id, for_s=now_s - since_s):
            self.arrivals_in_pause[node] += 1
        if self.arrivals_in_pause[node] > MAX_ARRIVALS_IN_PAUSE:
            text = f"{node} sends to {self.server_id} in its pause"
            self.records.record_violation(Promise.PAUSE, text)

    def _ask_for_pause(self, message: Message, writer: asyncio.StreamWriter) -> None:
        self._check_arrival(message)
        node = self.records.node_by_attempt.get(message.headers["x-attempt-id"], "")
        now_s = self.records.now_s()
        _, until_s = self.told_pause_s.get(node, (0.0, 0.0))
        if until_s <= now_s:
            self.told_pause_s[node] = (now_s, self.full_until_s)
            self.arrivals_in_pause[node] = 0
        pause_s = self.full_until_s - now_s
        self._reject(message, 503, writer, {"retry-after": f"{pause_s:.3f}"})

    def _statement_headers(self, message: Message) -> dict[str, str]:
        """Return the headers in which the server says that it leaves."""
        if not self.says_leaving:
            return {}
        node = self.records.node_by_attempt.get(message.headers["x-attempt-id"], "")
        self.told_leaving_s.setdefault(node, self.records.now_s())
        return {"server-leaving": "1"}

    # Requests

    async def _async_handle_plain(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> None:
        self._check_arrival(message)
        attempt_id = message.headers["x-attempt-id"]
        command = message.start_line.startswith("POST")
        self.records.record_run(attempt_id, self.server_id, command=command)
        await asyncio.sleep(random.uniform(*PLAIN_WORK_S))
        headers = {"x-attempt-id": attempt_id, "x-response-seal": self.server_id}
        headers.update(self._statement_headers(message))
        body = f"{message.path} {attempt_id}".encode()
        writer.write(encode_message(f"HTTP/1.1 200 {_REASON_PHRASE}", headers, body))

    async def _async_handle_stream(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> None:
        membership = self.membership
        is_leader = membership is not None and membership.members[0] == self.server_id
        if membership is None or not is_leader or membership.state != "open":
            self._reject(message, 421, writer)
            return
        self._check_arrival(message)
        if len(self.running_streams) >= SLOTS:
            self._reject(message, 503, writer)
            return
        self._check_members(membership)
        attempt_id = message.headers["x-attempt-id"]
        self.records.record_run(attempt_id, self.server_id, command=False)
        task = asyncio.create_task(self._async_send_events(message, membership, writer))
        self.running_streams.add(task)
        task.add_done_callback(self.running_streams.discard)
        await asyncio.gather(task, return_exceptions=True)
        if task.cancelled():
            raise ConnectionAbortedError("the stream is cut")

    def _check_members(self, membership: Membership) -> None:
        for member in membership.members:
            server = self.servers.get(member)
            if server is not None and membership.key not in server.ready_groups:
                text = f"{self.server_id} serves {membership.key} without {member}"
                self.records.record_violation(Promise.WHOLE_GROUP, text)

    async def _async_send_events(
        self, message: Message, membership: Membership, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = message.headers["x-attempt-id"]
        first_number = int(message.headers.get("last-event-id", 0)) + 1
        statement = "".join(
            f"{name}: {value}\r\n"
            for name, value in self._statement_headers(message).items()
        )
        writer.write(
            f"HTTP/1.1 200 {_REASON_PHRASE}\r\nx-attempt-id: {attempt_id}\r\n"
            f"x-response-seal: {self.server_id}\r\n{statement}"
            "content-type: text/event-stream\r\n"
            "transfer-encoding: chunked\r\n\r\n".encode()
        )
        if f"{CRASHING_PART}:" in message.headers.get("x-prompt-prefix", ""):
            self.records.prompt_crashes += 1
            # The stop cancels this task.
            self.stopping = asyncio.create_task(self.async_stop())
            await asyncio.shield(self.stopping)
        for number in range(first_number, STREAM_EVENTS + 1):
            slow_until_s = max(self.slow_until_s, self.paused_until_s)
            slow_s = slow_until_s - self.records.now_s()
            await asyncio.sleep(max(EVENT_INTERVAL_S, slow_s))
            await self._async_wait_until_whole(membership)
            event = f"id: {number}\ndata: {message.path} {number}\n\n"
            writer.write(encode_chunk(event.encode()))
        writer.write(encode_chunk(b""))
        await writer.drain()

    async def _async_wait_until_whole(self, membership: Membership) -> None:
        """Wait while a member is missing; break group and stream after STALL_S."""
        waited_s = 0.0
        while not self.is_whole(membership):
            await asyncio.sleep(EVENT_INTERVAL_S)
            waited_s += EVENT_INTERVAL_S
            if waited_s > STALL_S:
                if self.membership is membership:
                    membership.state = "broken"
                raise asyncio.CancelledError

    def _cancel_running(self) -> None:
        for task in self.running_streams:
            task.cancel()

    # Orders

    def _handle_order(
        self, order: dict[str, Any], writer: asyncio.StreamWriter
    ) -> None:
        status = self._apply_order(order)
        if random.random() < self.lost_response_ratio:
            writer.transport.abort()
            return
        writer.write(encode_message(f"HTTP/1.1 {status} {_REASON_PHRASE}", {}, b"{}"))

    def _apply_order(self, order: dict[str, Any]) -> int:
        fence = int(order.get("fencing_token", 0))
        if fence < self.fence:
            return 412
        self.fence = fence
        self.orders += 1
        match order["operation"]:
            case "join":
                return self._join(order)
            case "stage":
                self._spawn(self._async_stage(order["model"]))
                return 202
        membership = self.membership
        if membership is None or membership.key != (order["group"], order["epoch"]):
            return 200 if order["operation"] == "leave" else 409
        if order["operation"] == "leave":
            self.membership = None
            self._cancel_running()
            return 200
        if membership.state not in {"ready", "open"}:
            return 409
        self._spawn(self._async_open(membership))
        return 202

    def _join(self, order: dict[str, Any]) -> int:
        requested = Membership(order["group"], order["epoch"], list(order["members"]))
        current = self.membership
        if current is not None and current.key == requested.key:
            return 200 if current.members == requested.members else 412
        if self.highest_epoch > requested.epoch:
            return 412
        self.highest_epoch = requested.epoch
        if current is not None:
            self._check_released(current, requested)
        self.membership = requested
        self._cancel_running()
        self._spawn(self._async_join(requested, order["model"]))
        return 202

    def _check_released(self, current: Membership, requested: Membership) -> None:
        leader = self.servers.get(current.members[0])
        if leader is None or not leader.is_running or leader.membership is None:
            return
        if leader.membership.key == current.key and leader.membership.state == "open":
            text = f"{self.server_id} joins {requested.key}, {current.key} is open"
            self.records.record_violation(Promise.ONE_GROUP, text)

    async def _async_join(self, membership: Membership, model: str) -> None:
        if self.last_model == model:
            await asyncio.sleep(REJOIN_S)
        else:
            await asyncio.sleep(WARMUP_S if self.staged == model else LOAD_S)
        if self.membership is membership:
            self.staged = self.last_model = model
            membership.state = "ready"
            self.ready_groups.add(membership.key)

    async def _async_open(self, membership: Membership) -> None:
        await asyncio.sleep(FORMATION_S)
        if self.membership is membership and membership.state == "ready":
            membership.state = "open"

    async def _async_stage(self, model: str) -> None:
        await asyncio.sleep(LOAD_S)
        self.staged = model

    def _spawn(self, coro: Any) -> None:
        task = asyncio.create_task(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
