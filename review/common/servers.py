"""Plain servers and model servers that follow the platform's protocol."""

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

from .http import BrokenMessageError, Message, encode_message, read_message
from .record import Record
from .store import Store

HEARTBEAT_S = 1.2
KEEP_ALIVE_S = 10
REJOIN_S = 0.2
LOAD_S = 1.0
FORMATION_S = 0.3
STREAM_EVENTS = 6
EVENT_INTERVAL_S = 0.02


@dataclass(slots=True)
class Run:
    """A request that a server began to run."""

    # When it reached the server.
    at_s: float
    server_id: str
    attempt_id: str


@dataclass(slots=True)
class Server:
    """One incarnation of a server; it registers itself in the store."""

    server_id: str
    service: str
    zone: str
    store: Store
    record: Record
    runs: list[Run]
    slots: int = 6
    queue: int = 24
    work_s: float = 0.06
    state: str = "ready"
    sequence: int = 0
    port: int = 0
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    _running: int = 0
    _slot: asyncio.Semaphore | None = None
    _listener: asyncio.Server | None = None
    _heartbeat: asyncio.Task[None] | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen and register."""
        self._slot = asyncio.Semaphore(self.slots)
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._listener.sockets[0].getsockname()[1]
        self._heartbeat = asyncio.create_task(self._send_heartbeats())
        self.record.write("server_started", server=self.server_id, port=self.port)

    async def drain(self) -> float:
        """Report `draining`; return when the store has accepted the report."""
        self.state = "draining"
        self.write_entry()
        self.record.write("server_draining", server=self.server_id)
        return self.record.now_s()

    def stop(self) -> None:
        """Exit and leave the list of servers."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.close()
        self.store.put("servers", self.server_id, None)
        self.record.write("server_stopped", server=self.server_id)

    def entry(self) -> dict[str, Any]:
        """Return the entry in the list of servers."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    def write_entry(self) -> None:
        """Write the entry with the next sequence number."""
        self.sequence += 1
        value = json.dumps(self.entry()).encode()
        self.store.put("servers", self.server_id, value)

    async def _send_heartbeats(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                await self.answer(request, writer)
                await writer.drain()
        except (BrokenMessageError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a health check or run a request."""
        expected = request.headers.get("x-expected-instance")
        if request.target == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(self.response(request, status, b""))
        elif expected is not None and expected != self.server_id:
            writer.write(self.response(request, 421, b""))
        elif self._running >= self.slots + self.queue:
            writer.write(self.response(request, 503, b"", {"X-Not-Executed": "1"}))
        else:
            await self._run(request, writer)

    async def _run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        if self._slot is None:
            raise RuntimeError("the server has not been started")
        self._running += 1
        arrived_s = self.record.now_s()
        try:
            async with self._slot:
                self._note_run(request, arrived_s)
                await self.run(request, writer)
        finally:
            self._running -= 1

    def _note_run(self, request: Message, arrived_s: float) -> None:
        attempt_id = request.headers.get("x-attempt-id", "")
        self.runs.append(Run(arrived_s, self.server_id, attempt_id))
        self.record.write(
            "run",
            server=self.server_id,
            attempt=attempt_id,
            arrived=f"{arrived_s:.3f}",
            tenant=request.headers.get("x-tenant"),
        )

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Work on a request and answer it."""
        await asyncio.sleep(self.work_s)
        body = f"{request.target} {request.headers.get('x-attempt-id')}".encode()
        seal = {"X-Response-Seal": f"seal.{len(body)}"}
        writer.write(self.response(request, 200, body, seal))

    def response(
        self,
        request: Message,
        status: int,
        body: bytes,
        more: dict[str, str] | None = None,
    ) -> bytes:
        """Return an encoded response."""
        headers = {
            "X-Attempt-Id": request.headers.get("x-attempt-id", ""),
            "X-Instance-Id": self.server_id,
            "Keep-Alive": f"timeout={KEEP_ALIVE_S}",
            **(more or {}),
        }
        return encode_message(f"HTTP/1.1 {status} X", headers, body)


def stream_events(attempt_id: str) -> list[bytes]:
    """Return the events that answer a request on a streaming route."""
    return [
        f"id: {number}\ndata: {attempt_id} piece {number}\n\n".encode()
        for number in range(1, STREAM_EVENTS + 1)
    ]


@dataclass(slots=True)
class ModelServer(Server):
    """A model server that takes orders to form groups; the head of one serves."""

    domain: str = "d1"
    orders: int = 0
    fence: int = 0
    epoch: int = 0
    staged: str = ""
    last_model: str = ""
    group: dict[str, Any] | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def entry(self) -> dict[str, Any]:
        """Return the entry in the list of servers."""
        return {**Server.entry(self), **self._state()}

    def _state(self) -> dict[str, Any]:
        models = [{"name": self.last_model, "version": 1, "adapters": []}]
        group = self.group
        if group is not None:
            group = {key: group[key] for key in ("name", "epoch", "rank", "state")}
        return {
            "born": self.born_ms,
            "stage": "combined",
            "models": models if self.last_model else [],
            "domain": self.domain,
            "staged": [self.staged] if self.staged else [],
            "group": group,
        }

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a report or an order; requests are rejected."""
        expected = request.headers.get("x-expected-instance")
        if expected is not None and expected != self.server_id:
            writer.write(self.response(request, 421, b""))
        elif request.target == "/v1/report":
            report = {**self._state(), "busy": False, "sequence": self.orders}
            writer.write(self.response(request, 200, json.dumps(report).encode()))
        elif request.target == "/v1/order":
            status = self.apply_order(json.loads(request.body))
            self.write_entry()
            writer.write(self.response(request, status, b"{}"))
        elif request.target != "/health" and not self._is_open_head():
            writer.write(self.response(request, 421, b""))
        else:
            await Server.answer(self, request, writer)

    def _is_open_head(self) -> bool:
        group = self.group
        return group is not None and not group["rank"] and group["state"] == "open"

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Send the events of a stream in chunks."""
        attempt_id = request.headers.get("x-attempt-id", "")
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\n"
            f"X-Response-Seal: seal.{attempt_id}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for event in stream_events(attempt_id):
            await asyncio.sleep(EVENT_INTERVAL_S)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")

    def apply_order(self, order: dict[str, Any]) -> int:
        """Apply an order; return the status."""
        self.record.write("order", server=self.server_id, **order)
        fence = order.get("fencing_token", 0)
        if fence < self.fence:
            return 412
        self.fence = fence
        operation = order["operation"]
        if operation == "stage":
            self._start(self._stage(order["model"]))
            return 202
        if operation == "join":
            return self.join(order)
        group = self.group
        key = (order["group"], order["epoch"])
        if group is None or (group["name"], group["epoch"]) != key:
            return 200 if operation == "leave" else 409
        if operation == "leave":
            self.group = None
            return 200
        if group["state"] == "open":
            return 200
        if operation != "open" or group["state"] != "ready" or group["rank"]:
            return 409
        self._start(self._open(group))
        return 202

    def join(self, order: dict[str, Any]) -> int:
        """Apply an order to join a group; return the status."""
        members = order["members"]
        group = self.group
        if group is not None and (group["name"], group["epoch"]) == (
            order["group"],
            order["epoch"],
        ):
            return 200 if group["members"] == members else 412
        if order["epoch"] < self.epoch:
            return 412
        self.epoch = order["epoch"]
        self.group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": members.index(self.server_id),
            "state": "joining",
            "members": members,
        }
        self._start(self._become_ready(self.group, order["model"]))
        return 202

    def _start(self, coro: Any) -> None:
        self.orders += 1
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _become_ready(self, group: dict[str, Any], model: str) -> None:
        await asyncio.sleep(REJOIN_S if self.last_model == model else LOAD_S)
        if self.group is group:
            self.staged = self.last_model = model
            group["state"] = "ready"
            self.write_entry()

    async def _open(self, group: dict[str, Any]) -> None:
        await asyncio.sleep(FORMATION_S)
        if self.group is group and group["state"] == "ready":
            group["state"] = "open"
            self.write_entry()

    async def _stage(self, model: str) -> None:
        await asyncio.sleep(LOAD_S)
        self.staged = model
        self.write_entry()
