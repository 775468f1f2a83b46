"""Stand-ins for model servers and plain servers, as PROTOCOL.md tells them."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from .http import Message, async_read_body, async_read_head, encode, encode_chunk
from .store import Store

HEARTBEAT_S = 1.2
LAPSE_HEARTBEATS = 3
FORMATION_S = 0.1
REJOIN_S = 0.2
WARMUP_S = 0.3
LOAD_S = 0.5
QUEUE = 8

Log = Callable[..., None]


@dataclass(slots=True)
class Membership:
    """Membership of a server in a group."""

    group: str
    epoch: int
    members: list[str]
    state: str = "joining"


@dataclass(slots=True)
class Server:
    """One server; `async_start` begins a new life under the same id and address."""

    server_id: str
    service: str
    zone: str
    store: Store
    log: Log
    slots: int = 8
    grouped: bool = True
    # Answers a request that runs; the default answers depend on the kind of server.
    async_run: Callable[["Server", Message, asyncio.StreamWriter], Awaitable[None]] | (
        None
    ) = None
    events: int = 10
    event_gap_s: float = 0.05
    # Fabric domain; servers of a zone share one by default.
    domain: str = ""
    work_s: float = 0.03
    port: int = 0
    # The number of the last heartbeat; a new life starts anew.
    heartbeat: int = 0
    born: int = 0
    running: bool = False
    dark: bool = False
    draining: bool = False
    # Whether it writes no entry any more.
    silent: bool = False
    staged: str = ""
    last_model: str = ""
    membership: Membership | None = None
    fence: int = 0
    highest_epoch: int = 0
    orders: int = 0
    busy: int = 0
    _listener: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    async def async_start(self, *, register_s: float = 0.0) -> None:
        """Begin a life; its first heartbeat comes after `register_s`."""
        self.born = int(time.time() * 1000)
        self.last_model, self.membership = "", None
        self.fence = self.highest_epoch = self.orders = self.busy = 0
        self.draining = self.dark = self.silent = False
        self.running = True
        self._listener = await asyncio.start_server(
            self._async_serve, "127.0.0.1", self.port
        )
        self.port = self._listener.sockets[0].getsockname()[1]
        self._spawn(self._async_heartbeats(register_s))
        self.log("server_started", server=self.server_id, born=self.born)

    def stop(self) -> None:
        """End the life at once; open connections are reset."""
        self.running = False
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        if self._listener is not None:
            self._listener.close()
        self.log("server_ended", server=self.server_id)

    def drain(self) -> None:
        """Report `draining`; the store acknowledges it at once."""
        self.draining = True
        self.write_entry()
        self.log("server_draining", server=self.server_id, heartbeat=self.heartbeat)

    def leave_unannounced(self) -> None:
        """Remove the entry and serve on; the store acknowledges it at once."""
        self.draining = self.silent = True
        self.remove_entry()
        self.log("entry_removed", server=self.server_id)

    def write_entry(self) -> None:
        """Write the entry of the server, with the next heartbeat."""
        self.heartbeat += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": self.heartbeat,
            "born": self.born,
        }
        if self.grouped:
            entry |= self._engine_state()
        self.store.put("servers", self.server_id, json.dumps(entry).encode())

    def remove_entry(self) -> None:
        """Remove the entry."""
        self.store.put("servers", self.server_id, None)

    def _engine_state(self) -> dict[str, Any]:
        group = None
        if self.membership is not None:
            item = self.membership
            group = {"name": item.group, "epoch": item.epoch, "state": item.state}
            group["rank"] = item.members.index(self.server_id)
        models = [{"name": self.last_model, "version": 1, "adapters": []}]
        return {
            "stage": "combined",
            "models": models if self.last_model else [],
            "domain": self.domain or f"{self.zone}-d",
            "staged": [self.staged] if self.staged else [],
            "group": group,
        }

    async def _async_heartbeats(self, register_s: float) -> None:
        await asyncio.sleep(register_s)
        while True:
            if not self.dark and not self.silent:
                self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def _spawn(self, coro: Any) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
        try:
            while True:
                message = await async_read_head(reader)
                message.body = await async_read_body(reader, message)
                await self._async_wait_awake()
                await self._async_handle(message, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            if task is not None:
                self._tasks.discard(task)
            writer.transport.abort()

    async def _async_wait_awake(self) -> None:
        while self.dark:  # noqa: ASYNC110
            await asyncio.sleep(0.01)

    def head(self, message: Message) -> dict[str, str]:
        """Return the headers that all answers to requests carry."""
        headers = {"X-Attempt-Id": message.get("x-attempt-id") or ""}
        if self.draining:
            headers["Server-Leaving"] = "1"
        return headers

    def reject(self, message: Message, status: int) -> bytes:
        """Return an answer that says that the request has not run."""
        self.log(
            "rejected",
            server=self.server_id,
            id=message.get("x-attempt-id"),
            status=status,
        )
        headers = {**self.head(message), "X-Not-Executed": "1"}
        return encode(f"HTTP/1.1 {status} X", headers)

    async def _async_handle(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> None:
        expected = message.get("x-expected-instance")
        if expected not in {None, self.server_id}:
            writer.write(self.reject(message, 421))
        elif message.target == "/v1/report":
            report = {**self._engine_state(), "born": self.born, "pace": 1.0}
            report |= {"busy": False, "sequence": self.orders}
            report |= {"waiting_requests": 0, "running_requests": self.busy}
            headers = {"Content-Type": "application/json"}
            if self.draining:
                headers["Server-Leaving"] = "1"
            writer.write(encode("HTTP/1.1 200 X", headers, json.dumps(report).encode()))
        elif message.target == "/v1/order":
            status = self._order(json.loads(message.body))
            headers = {"Server-Leaving": "1"} if self.draining else {}
            writer.write(encode(f"HTTP/1.1 {status} X", headers, b"{}"))
        elif not message.get("x-attempt-id"):
            writer.write(self.reject(message, 400))
        elif self.grouped and not self._is_open_head():
            writer.write(self.reject(message, 421))
        elif self.busy >= self.slots + QUEUE:
            writer.write(self.reject(message, 503))
        else:
            await self._async_request(message, writer)

    def _is_open_head(self) -> bool:
        item = self.membership
        return (
            item is not None
            and item.members[0] == self.server_id
            and item.state == "open"
        )

    async def _async_request(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> None:
        self.log(
            "run",
            server=self.server_id,
            service=self.service,
            id=message.get("x-attempt-id"),
            line=message.start,
            tenant=message.get("x-tenant"),
            draining=self.draining,
        )
        self.busy += 1
        try:
            if self.async_run is not None:
                await self.async_run(self, message, writer)
            elif self.grouped:
                await self.async_send_events(message, writer)
            else:
                await self.async_send_body(message, writer)
        finally:
            self.busy -= 1

    def seal(self) -> str:
        """Return the signature of an answer."""
        return f"{self.server_id}.{self.born}"

    async def async_send_body(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answer with a body of a known length."""
        await asyncio.sleep(self.work_s)
        await self._async_wait_awake()
        body = f"{message.target} {message.get('x-attempt-id')}".encode()
        headers = {**self.head(message), "X-Response-Seal": self.seal()}
        sent = b"" if message.method == "HEAD" else body
        writer.write(encode("HTTP/1.1 200 OK", headers, sent, length=len(body)))

    async def async_send_events(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answer with a stream of events."""
        first = int(message.get("last-event-id") or 0) + 1
        headers = {**self.head(message), "X-Response-Seal": self.seal()}
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines])
        head += "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked"
        writer.write(head.encode() + b"\r\n\r\n")
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_gap_s)
            await self._async_wait_awake()
            event = f"id: {number}\ndata: {message.target} {number}\n\n"
            writer.write(encode_chunk(event.encode()))
        writer.write(encode_chunk(b""))

    def _order(self, order: dict[str, Any]) -> int:
        fence = int(order.get("fencing_token") or 0)
        if fence < self.fence:
            return 412
        self.fence = fence
        operation = order.get("operation")
        if operation == "join":
            return self._join(order)
        if operation == "stage":
            if self.staged == order["model"]:
                return 200
            self._spawn(self._async_stage(order["model"]))
            self.orders += 1
            return 202
        item = self.membership
        if item is None or (item.group, item.epoch) != (order["group"], order["epoch"]):
            return 200 if operation == "leave" else 409
        if operation == "leave":
            self.membership = None
            self.orders += 1
            return 200
        if operation == "open" and item.state == "ready":
            self._spawn(self._async_open(item))
            self.orders += 1
            return 202
        return 200 if item.state == "open" else 409

    def _join(self, order: dict[str, Any]) -> int:
        wanted = Membership(order["group"], order["epoch"], list(order["members"]))
        item = self.membership
        if wanted.epoch < self.highest_epoch:
            return 412
        if item is not None and (item.group, item.epoch) == (
            wanted.group,
            wanted.epoch,
        ):
            return 200 if item.members == wanted.members else 412
        self.highest_epoch = wanted.epoch
        self.membership = wanted
        self.orders += 1
        self._spawn(self._async_join(wanted, order["model"]))
        return 202

    async def _async_join(self, item: Membership, model: str) -> None:
        if self.last_model == model:
            await asyncio.sleep(REJOIN_S)
        else:
            await asyncio.sleep(WARMUP_S if self.staged == model else LOAD_S)
        if self.membership is item:
            self.last_model = self.staged = model
            item.state = "ready"
            self.write_entry()

    async def _async_open(self, item: Membership) -> None:
        await asyncio.sleep(FORMATION_S)
        if self.membership is item and item.state == "ready":
            item.state = "open"
            self.write_entry()

    async def _async_stage(self, model: str) -> None:
        await asyncio.sleep(LOAD_S)
        self.staged = model
