# ruff: noqa: ASYNC110, PLR0911, S101, S607, T201
"""Stand-ins for the cases of review 3: store, servers, clients and node processes.

Standard library only. Everything but the nodes runs in the process of the case. All
addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HEARTBEAT_S = 1.2
MODEL = "daka510000"
GROUP_SIZE = 2
JOIN_S = 0.2
FORMATION_S = 0.3
STALL_S = 4.0
CRASHED_S = 3.0
MAX_RUN_S = 110.0
LAPSE_S = 3 * HEARTBEAT_S
CALLER_PORT, READY_PORT, CONTROL_PORT = 8227, 8220, 8229


class Record:
    """Writes record.txt and keeps the time since the start of the case."""

    def __init__(self, path: Path) -> None:
        """Open the file."""
        self.started_s = time.monotonic()
        self._file = path.open("w")

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_s

    def write(self, text: str) -> None:
        """Write one line with its time."""
        self._file.write(f"{self.now_s():8.3f}  {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line, and print it."""
        self.write(text)
        print(f"{self.now_s():8.3f}  {text}", flush=True)


# HTTP


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the start line and the headers, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


def message(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Connections:
    """A listener whose connections can be reset together."""

    def __init__(
        self,
        serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
    ) -> None:
        """Set the handler of a connection."""
        self._serve = serve
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._listener: asyncio.Server | None = None
        self.host = "127.0.0.1"
        self.port = 0

    async def open(self, host: str = "127.0.0.1") -> None:
        """Listen, on the same port as before if there was one."""
        self.host = host
        self._listener = await asyncio.start_server(
            self._accept, host, self.port, reuse_address=True
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for task in list(self._tasks):
            task.cancel()
        self.reset()
        await asyncio.sleep(0)

    def reset(self) -> None:
        """Reset the open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._writers.add(writer)
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()


# The platform's store

Rows = dict[tuple[str, str, str], tuple[bytes | None, int]]


class Store:
    """Rows in memory; `drill` brings back an earlier copy, as the letters tell."""

    def __init__(self, record: Record) -> None:
        """Create an empty store."""
        self.record = record
        self.rows: Rows = {}
        self.version = 0
        self.era = 1
        self.oldest = 0
        self.status = 0
        self.lose = 0
        self.copies: list[tuple[float, Rows, int]] = []
        self._changed = asyncio.Event()
        # Ports of the machines that the store turns away.
        self.turned_away: set[int] = set()
        # One address for each machine, so that a case can tell them apart.
        self.listeners: list[Connections] = []

    async def listen(self) -> int:
        """Open one more address; return its port."""
        listener = Connections(self._serve)
        await listener.open()
        self.listeners.append(listener)
        return listener.port

    async def close(self) -> None:
        """Refuse new connections and reset the open ones."""
        for listener in self.listeners:
            await listener.close()

    def put(self, table: str, key: str, value: bytes | None, part: str = "") -> int:
        """Write or delete a row; the return is the acknowledgement."""
        self.version += 1
        self.rows[table, part, key] = (value, self.version)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def copy(self) -> None:
        """Keep a copy of all rows, as a backup does."""
        self.copies.append((self.record.now_s(), dict(self.rows), self.version))

    async def drill(self, copied_s: float, away_s: float) -> None:
        """Be away for a moment and come back from the copy made at a time.

        What the system wrote since is gone; what the operator and the servers wrote is
        written again.
        """
        at_s, rows, version = max(
            item for item in self.copies if item[0] <= copied_s + 0.05
        )
        before = self.version
        self.record.say(f"store is away (version {before})")
        await self.close()
        await asyncio.sleep(away_s)
        current = self.rows
        self.rows, self.version, self.era = dict(rows), version, self.era + 1
        self.oldest = 0
        age_s = self.record.now_s() - at_s
        for (table, part, key), (value, _) in current.items():
            if table not in {"op", "servers"}:
                continue
            if self.rows.get((table, part, key), (None, 0))[0] != value:
                self.put(table, key, value, part)
        for listener in self.listeners:
            await listener.open()
        self.record.say(
            f"store is back from a copy {age_s:.1f} s old: version {version}, era "
            f"{self.era}; operator and servers wrote again, version {self.version}"
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        port = writer.get_extra_info("sockname")[1]
        while True:
            start, headers = await read_head(reader)
            body = await read_body(reader, headers)
            await asyncio.sleep(0.004)
            status, content = await self._call(start.split()[1], body)
            if port in self.turned_away:
                status, content = 503, {}
            if self.lose and "rows-tx" in start:
                self.lose -= 1
                return
            writer.write(
                message(
                    f"HTTP/1.1 {status} X",
                    {"Store-Era": str(self.era), "Content-Type": "application/json"},
                    json.dumps(content).encode(),
                )
            )

    async def _call(self, target: str, body: bytes) -> tuple[int, Any]:
        if self.status:
            return self.status, {}
        call = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(call.query).items()}
        if call.path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        if call.path == "/v1/rows-get":
            return 200, self._page(query)
        after = int(query["after"])
        if after > self.version or after < self.oldest:
            return 410, {}
        if not self._changes(query["table"], after):
            with contextlib.suppress(TimeoutError):
                wait_s = int(query["wait_ms"]) / 1000
                async with asyncio.timeout(wait_s):
                    while not self._changes(query["table"], after):
                        await self._changed.wait()
        return 200, self._answer(rows=self._changes(query["table"], after))

    def _transact(self, call: dict[str, Any]) -> tuple[int, Any]:
        names = [*call["writes"], *call["deletes"]]
        if any(row["table"] in {"op", "servers"} for row in names):
            return 403, {}
        for row in call["expected_revision"]:
            name = (row["table"], row.get("part", ""), row["key"])
            value, version = self.rows.get(name, (None, 0))
            if (version if value is not None else 0) != row["row_version"]:
                return 412, self._answer(rows=[])
        for row in call["writes"]:
            value = base64.b64decode(row["value"])
            version = self.put(row["table"], row["key"], value, row.get("part", ""))
            self.record.write(
                f"store: {row['table']}/{row['key']} = {value[:80]!r} @{version}"
            )
        for row in call["deletes"]:
            self.put(row["table"], row["key"], None, row.get("part", ""))
        return 200, self._answer()

    def _answer(self, **fields: Any) -> dict[str, Any]:
        clock_ms = int(time.monotonic() * 1000)
        return {**fields, "row_version": self.version, "current_time_ms": clock_ms}

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        keys = sorted(
            key
            for (table, part, key), (value, _) in self.rows.items()
            if table == query["table"]
            and part == query.get("part", "")
            and value is not None
            and query.get("from", "") <= key
        )
        limit = int(query.get("limit", 500))
        rows = [self._row(query["table"], key) for key in keys[:limit]]
        return self._answer(rows=rows, has_more=len(keys) > limit)

    def _changes(self, table: str, after: int) -> list[dict[str, Any]]:
        found = sorted(
            (version, key)
            for (name, _, key), (_, version) in self.rows.items()
            if name == table and version > after
        )
        return [self._row(table, key) for _, key in found]

    def _row(self, table: str, key: str) -> dict[str, Any]:
        value, version = self.rows[table, "", key]
        row = {"table": table, "part": "", "key": key, "row_version": version}
        if value is None:
            return {**row, "removed": True}
        return {**row, "value": base64.b64encode(value).decode()}


# Servers


@dataclass
class Group:
    """Membership of a model server."""

    name: str
    epoch: int
    members: list[str]
    state: str = "joining"


@dataclass(eq=False)
class Server:
    """A server of the plain service, or a model server."""

    server_id: str
    service: str
    zone: str
    world: "World"
    slots: int = 6
    work_s: float = 0.06
    events: int = 12
    event_s: float = 0.05
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    sequence: int = 0
    orders: int = 0
    state: str = "ready"
    staged: list[str] = field(default_factory=list)
    last_model: str = ""
    group: Group | None = None
    epoch_seen: int = 0
    fence: int = 0
    running: int = 0
    silent_until_s: float = 0.0
    crashed_s: float = 0.0
    # Whether the record is removed.
    lapsed: bool = False
    # Whether the server writes its record no more, although it serves on.
    is_silent: bool = False

    def __post_init__(self) -> None:
        """Create the listener."""
        self.connections = Connections(self._serve)

    async def start(self) -> None:
        """Listen and register."""
        await self.connections.open()
        self.register()

    def drain(self) -> None:
        """Report that the server leaves, before a planned shutdown."""
        self.state = "draining"
        self.register()
        self.world.record.say(f"{self.server_id} reports that it is draining")

    async def leave(self) -> None:
        """Remove the entry and exit, after a planned shutdown."""
        self.state = "crashed"
        self.lapsed = True
        self.world.store.put("servers", self.server_id, None)
        await self.connections.close()
        self.world.record.say(f"{self.server_id} has left")

    async def crash(self) -> None:
        """End at once; the record lapses later."""
        self.state = "crashed"
        self.crashed_s = self.world.now_s()
        await self.connections.close()

    def document(self) -> dict[str, Any]:
        """Return what the server says of itself."""
        group = None
        if self.group is not None:
            group = {
                "name": self.group.name,
                "epoch": self.group.epoch,
                "rank": self.group.members.index(self.server_id),
                "state": self.group.state,
            }
        models = [{"name": self.last_model, "version": 1, "adapters": []}]
        return {
            "service": self.service,
            "address": f"{self.connections.host}:{self.connections.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "stage": "combined",
            "models": models if self.last_model else [],
            "staged": self.staged,
            "domain": f"{self.zone}-d1",
            "group": group,
            "born": self.born,
            "sequence": self.sequence,
        }

    def register(self) -> None:
        """Write the record."""
        if self.is_silent:
            return
        self.sequence += 1
        value = json.dumps(self.document()).encode()
        self.world.store.put("servers", self.server_id, value)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            start, headers = await read_head(reader)
            body = await read_body(reader, headers)
            await asyncio.sleep(max(0.0, self.silent_until_s - self.world.now_s()))
            target = start.split()[1]
            expected = headers.get("x-expected-instance", self.server_id)
            if expected != self.server_id:
                self._refuse(writer, headers, 421)
            elif target == "/v1/report":
                report = {**self.document(), "sequence": self.orders, "pace": 1.0}
                writer.write(
                    message("HTTP/1.1 200 OK", {}, json.dumps(report).encode())
                )
            elif target == "/v1/order":
                status = self._order(json.loads(body))
                writer.write(message(f"HTTP/1.1 {status} X", {}, b"{}"))
            elif target == "/health":
                writer.write(
                    message("HTTP/1.1 200 OK", {"X-Instance-Id": self.server_id})
                )
            elif self.group is not None or self.service == "model":
                await self._stream(writer, headers, target)
            else:
                await self._plain(writer, headers, start)
            await writer.drain()

    def _refuse(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], status: int
    ) -> None:
        own = {"X-Attempt-Id": headers.get("x-attempt-id", ""), "X-Not-Executed": "1"}
        writer.write(message(f"HTTP/1.1 {status} X", {**own, "At-Server": "x"}))

    async def _plain(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], start: str
    ) -> None:
        attempt = headers["x-attempt-id"]
        if self.running >= self.slots:
            self._refuse(writer, headers, 503)
            return
        self.world.on_run(self, attempt, headers)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        own = {
            "X-Attempt-Id": attempt,
            "X-Response-Seal": f"{self.server_id}.{attempt}",
        }
        writer.write(message("HTTP/1.1 200 OK", own, f"{start} {attempt}".encode()))

    async def _stream(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], target: str
    ) -> None:
        group = self.group
        is_open = group is not None and group.state == "open"
        if group is None or not is_open or group.members[0] != self.server_id:
            self._refuse(writer, headers, 421)
            return
        if self.running >= self.slots:
            self._refuse(writer, headers, 503)
            return
        attempt = headers["x-attempt-id"]
        self.world.on_run(self, attempt, headers)
        parts = headers.get("x-prompt-prefix", "").split(",")[:-1]
        if self.world.poison in [part.partition(":")[0] for part in parts]:
            await asyncio.sleep(self.event_s)
            self.world.on_poison(self, attempt)
            raise ConnectionAbortedError
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Response-Seal: {self.server_id}.{attempt}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        self.running += 1
        try:
            first = int(headers.get("last-event-id", 0)) + 1
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.event_s)
                if self.group is not group or self.state == "crashed":
                    raise ConnectionAbortedError
                event = f"id: {number}\ndata: {target} {number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        finally:
            self.running -= 1
        writer.write(b"0\r\n\r\n")

    def _order(self, order: dict[str, Any]) -> int:
        fence = int(order.get("fencing_token", 0))
        status = self._apply(order) if fence >= self.fence else 412
        self.fence = max(fence, self.fence)
        self.world.record.write(
            f"order at {self.server_id}: {order['operation']} "
            f"{order.get('group', order.get('model'))} token {fence} -> {status}"
        )
        return status

    def _apply(self, order: dict[str, Any]) -> int:
        operation, group = order["operation"], self.group
        if operation == "stage":
            self.orders += 1
            self._later(JOIN_S, lambda: self._stage(order["model"]))
            return 202
        key = (order["group"], order["epoch"])
        if operation == "join":
            if group is not None and (group.name, group.epoch) == key:
                return 200 if group.members == order["members"] else 412
            if order["epoch"] < self.epoch_seen:
                return 412
            self.world.on_join(self, order)
            self.epoch_seen = order["epoch"]
            self.orders += 1
            joined = self.group = Group(*key, list(order["members"]))
            model = order["model"]
            self._later(JOIN_S, lambda: self._ready(joined, model))
            self.register()
            return 202
        if group is None or (group.name, group.epoch) != key:
            return 200 if operation == "leave" else 409
        self.orders += 1
        if operation == "leave":
            self.group = None
            self.register()
            return 200
        if group.state == "open":
            return 200
        if group.state != "ready" or group.members[0] != self.server_id:
            return 409
        self._later(FORMATION_S, lambda: self._open(group))
        return 202

    def _later(self, delay_s: float, act: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(delay_s, act)

    def _stage(self, model: str) -> None:
        self.staged = [model]
        self.register()

    def _ready(self, group: Group, model: str) -> None:
        if self.group is group and group.state == "joining":
            group.state = "ready"
            self.last_model, self.staged = model, [model]
            self.register()

    def _open(self, group: Group) -> None:
        if self.group is group and group.state == "ready":
            group.state = "open"
            self.register()


# Nodes


@dataclass(eq=False)
class Node:
    """A process of the system."""

    name: str
    zone: str
    host: str
    settings: Path
    log: Path
    store_port: int
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the program with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["GOOSEBERRYHALL_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "gooseberryhall.platform"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, also if it is stopped."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self) -> bool:
        """Ask for readiness, as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, READY_PORT)
                try:
                    writer.write(
                        b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n"
                        b"Connection: close\r\n\r\n"
                    )
                    return (await read_head(reader))[0].split()[1] == "200"
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


@dataclass
class Reply:
    """What a client got; status 0 if there was no answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    reused: bool = False


@dataclass(eq=False)
class Client:
    """A client that keeps its connection to one node."""

    node: Node
    local: str = ""
    _connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(self, data: bytes, limit_s: float, *, kept: bool = True) -> Reply:
        """Send one request and return the answer."""
        reused = self._connection is not None
        try:
            async with asyncio.timeout(limit_s):
                if self._connection is None:
                    self._connection = await asyncio.open_connection(
                        self.node.host, CALLER_PORT
                    )
                reader, writer = self._connection
                writer.write(data)
                start, headers = await read_head(reader)
                body = await read_body(reader, headers)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return Reply(0, {}, b"", reused)
        if not kept or headers.get("connection", "").lower() == "close":
            self.close()
        return Reply(int(start.split()[1]), headers, body, reused)

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None


class World:
    """All parts of a case."""

    def __init__(self, record: Path, temporary: Path, zones: list[str]) -> None:
        """Create the parts; `start` starts them."""
        self.record = Record(record)
        self.temporary = temporary
        self.zones = zones
        self.store = Store(self.record)
        self.servers: dict[str, Server] = {}
        self.nodes: list[Node] = []
        self.bounds: dict[str, Any] = {}
        self.runs: dict[str, list[str]] = {}
        # Id of a part of prompts that crashes servers, and when it did.
        self.poison = ""
        self.crashes_s: list[float] = []
        # Servers that took a join which breaks TWO.
        self.two: list[str] = []
        self.on_request: Callable[[Server, str], None] = lambda server, attempt: None
        self.version = 7
        self._network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self._tasks: list[asyncio.Task[None]] = []

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return self.record.now_s()

    def on_run(self, server: Server, attempt: str, headers: dict[str, str]) -> None:
        """Record that a server began to run a request."""
        self.runs.setdefault(attempt, []).append(server.server_id)
        self.record.write(f"run    {attempt} at {server.server_id} ({server.zone})")
        self.on_request(server, attempt)

    def on_poison(self, server: Server, attempt: str) -> None:
        """Crash a server; it is back after some seconds with its staged weights."""
        self.crashes_s.append(self.now_s())
        self.record.say(f"CRASH  {server.server_id} begins to answer {attempt}")

        async def crash() -> None:
            await server.crash()
            await asyncio.sleep(CRASHED_S)
            number = len(self.crashes_s)
            again = Server(f"i-r{number}{server.zone}", "model", server.zone, self)
            again.staged = list(server.staged)
            self.servers[again.server_id] = again
            await again.start()

        self._tasks.append(asyncio.create_task(crash()))

    def on_join(self, server: Server, order: dict[str, Any]) -> None:
        """Check a join that a server takes: TWO, as RULES.md has it."""
        group = server.group
        if group is None:
            return
        head = self.servers.get(group.members[0])
        if head is None or head.state == "crashed" or head.group is None:
            return
        is_same = (head.group.name, head.group.epoch) == (group.name, group.epoch)
        if is_same and head.group.state in {"open", "closing"}:
            self.two.append(server.server_id)
            self.record.say(
                f"TWO    {server.server_id} takes a join of {order['group']} while "
                f"{head.server_id}, the head of its group {group.name} "
                f"{group.members}, is open with {head.running} requests running"
            )

    def configure(self, routes: list[dict[str, Any]], **fields: Any) -> None:
        """Write the next configuration, as the operator does."""
        self.version += 3
        engine = {
            "slots": 6,
            "kv_cache_tokens": 795000,
            "stride": 7,
            "models": [
                {
                    "name": MODEL,
                    "size": GROUP_SIZE,
                    "share": 1.0,
                    "pace": 1.0,
                    "load_time_s": 1.6,
                    "warmup_s": 0.2,
                }
            ],
            "step_ms": 5.95,
            "per_seq_ms": 0.089,
            "context_per_k": 0.01626,
            "read_per_s": 50700.0,
            "loads_per_s": 4.5,
            "loads_at_once": 6,
            "usual": {"prompt": 1115, "answer": 178},
            "retained_count": 1,
            "far_x": 2.5,
            "formation_ms": FORMATION_S * 1000,
        }
        configuration = {
            "version": self.version,
            "routes": [{"host": HOST_NAME, "attempts": 2, **item} for item in routes],
            "services": [
                {"name": "model", "health_check_path": "/health", "engine": engine},
                {"name": "plain", "health_check_path": "/health"},
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
            **fields,
        }
        row = self.store.put("op", "config", json.dumps(configuration).encode())
        self.record.say(f"operator: configuration {self.version} @{row}")

    async def start(self, nodes_per_zone: int, model: int, plain: int) -> None:
        """Start store, servers and nodes; the counts are per zone."""
        for zone in self.zones:
            for number in range(model):
                await self.add_server(f"i-m{number}{zone}", "model", zone)
            for number in range(plain):
                await self.add_server(f"i-p{number}{zone}", "plain", zone)
        self._tasks.append(asyncio.create_task(self._beat()))
        for zone in self.zones:
            for _ in range(nodes_per_zone):
                await self._add_node(zone)
        for node in self.nodes:
            node.start()
        await self.wait_ready(30.0)

    async def add_server(self, server_id: str, service: str, zone: str) -> Server:
        """Start a server."""
        server = Server(server_id, service, zone, self)
        self.servers[server_id] = server
        await server.start()
        return server

    async def wait_ready(self, limit_s: float) -> None:
        """Wait until all nodes are ready. Raises TimeoutError."""
        async with asyncio.timeout(limit_s):
            for node in self.nodes:
                while not await node.is_ready():
                    await asyncio.sleep(0.1)
        self.record.say("all nodes are ready")

    async def ask(
        self, client: Client, attempt: str, data: bytes, limit_s: float
    ) -> Reply:
        """Send a request and record it with its answer."""
        line = data.split(b"\r\n", 1)[0].decode()
        self.record.write(f"send   {attempt} to {client.node.name}: {line}")
        reply = await client.send(data, limit_s)
        self.record.write(
            f"answer {attempt} from {client.node.name}: "
            f"{reply.status or 'none'} {len(reply.body)} bytes"
        )
        return reply

    def turn_away(self, node: Node) -> None:
        """Let the store answer 503 to a machine."""
        self.store.turned_away.add(node.store_port)
        self.record.say(f"store turns {node.name} away")

    def serve_again(self, node: Node) -> None:
        """Let the store serve a machine again."""
        self.store.turned_away.discard(node.store_port)
        self.record.say(f"store serves {node.name} again")

    async def stop(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            node.kill()
        for task in self._tasks:
            task.cancel()
        for server in self.servers.values():
            await server.connections.close()
        await self.store.close()

    async def _add_node(self, zone: str) -> None:
        number = len(self.nodes) + 2
        name, host = f"frontend-{zone}-{number}", f"{self._network}.{number}"
        store_port = await self.store.listen()
        settings = {
            "node_name": name,
            "role": "node",
            "machine_class": "frontend",
            "serves": ["frontend"],
            "ip_address": host,
            "zone": zone,
            "region": "r1",
            "zones": dict.fromkeys(self.zones, "r1"),
            "listen_addresses": {
                "frontend": f"{host}:{CALLER_PORT}",
                "ready": f"{host}:{READY_PORT}",
                "control_plane": f"{host}:{CONTROL_PORT}",
            },
            "internal_port_range": [7340, 7355],
            "seed_nodes": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "memory_mb": 300,
                "file_descriptors": 4200,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_directory": None,
            "heartbeat_interval_ms": HEARTBEAT_S * 1000,
            "bounds": {
                "stability_window_ms": 3000,
                "drain_timeout_ms": 2000,
                "grace_period_s": 8,
                "config_propagation_ms": 2000,
                "outer_bound_ms": 5000,
                "retry_budget_ratio": 0.2,
                "budget_window_s": 10,
                "retry_budget_slack": 130,
                "stall_ms": STALL_S * 1000,
                "fencing_enforced": True,
                **self.bounds,
            },
            "platform": {
                "address": f"127.0.0.1:{store_port}",
                "form": "table",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "row_bytes": 65536,
                "history_s": 20,
            },
        }
        path = self.temporary / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = self.temporary / f"{name}.log"
        self.nodes.append(Node(name, zone, host, path, log, store_port))

    async def _beat(self) -> None:
        """Let the servers write their records at their interval."""
        due = {key: random.uniform(0, HEARTBEAT_S) for key in self.servers}
        while True:
            await asyncio.sleep(0.02)
            now_s = self.now_s()
            for key, server in list(self.servers.items()):
                if due.setdefault(key, now_s) > now_s:
                    continue
                due[key] = now_s + HEARTBEAT_S
                if server.state != "crashed":
                    server.register()
                elif now_s - server.crashed_s > LAPSE_S and not server.lapsed:
                    server.lapsed = True
                    self.store.put("servers", key, None)


def request(
    method: str, path: str, attempt: str, deadline_ms: int, **extra: str
) -> bytes:
    """Return a client's request."""
    headers = {
        "Host": HOST_NAME,
        "X-Attempt-Id": attempt,
        "X-Deadline-Milliseconds": str(deadline_ms),
        "Authorization": f"Token {KEY}",
        **{name.replace("_", "-"): value for name, value in extra.items()},
    }
    return message(f"{method} {path} HTTP/1.1", headers)


def main(
    run: Callable[[Path, bool], Awaitable[int]], record: Path, *, trouble: bool
) -> None:
    """Run a case, with or without its disruption, and exit with its result.

    All processes are ended also at SIGTERM and if the case takes too long.
    """

    async def run_limited() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(MAX_RUN_S):
            return await run(record, trouble)

    try:
        code = asyncio.run(run_limited())
    except (Exception, asyncio.CancelledError) as exc:  # noqa: BLE001
        print(f"the case could not run: {exc!r}", flush=True)
        code = 2
    sys.exit(code)
