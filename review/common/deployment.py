"""A small deployment: store, servers, nodes and clients."""

import asyncio
import itertools
import json
import os
import shutil
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .http import BrokenMessageError, encode_message, read_message
from .nodes import FRONTEND_PORT, Node, create_nodes
from .record import Record
from .servers import ModelServer, Run, Server
from .store import Store

ZONES = ["lima-a", "lima-b"]
MODEL = "m0"
PLAIN_SERVICE = "cobranza"
MODEL_SERVICE = "asistente"
HOST = "dues.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
START_LIMIT_S = 20.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class SetupError(Exception):
    """The case could not be run."""


@dataclass(slots=True)
class Attempt:
    """One request of a client and what became of it."""

    attempt_id: str
    node: str
    path: str
    sent_s: float
    # Status, or "reset", "closed", "no answer" or "not connected".
    outcome: str = ""
    ended_s: float = 0.0
    # Whether the connection had been used for a request before.
    is_kept: bool = False
    body: bytes = b""


@dataclass(slots=True)
class Deployment:
    """All parts of a run."""

    directory: Path
    record: Record
    store: Store = field(default_factory=Store)
    nodes: list[Node] = field(default_factory=list)
    servers: list[Server] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    route_timeout_ms: int = 1500
    nodes_per_zone: int = 2
    plain_servers_per_zone: int = 2
    model_servers_per_zone: int = 4
    group_size: int = 2
    # Share of the streams that go to the plain service, in percent.
    plain_stream_percent: int = 0
    plain_server_type: type[Server] = Server
    model_server_type: type[ModelServer] = ModelServer
    # Slots of a plain server and the time that a request takes there.
    slots: int = 6
    work_s: float = 0.06
    _clients: set["Client"] = field(default_factory=set)
    _ids: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    async def start(self) -> None:
        """Start everything and wait until all nodes are ready."""
        await self.store.start()
        self.store.put("op", "config", json.dumps(self._configuration()).encode())
        for zone in ZONES:
            for number in range(self.plain_servers_per_zone):
                await self.add_server(
                    f"i-{zone}-plain-{number}", zone, self.plain_server_type
                )
            for number in range(self.model_servers_per_zone):
                await self.add_model_server(f"i-{zone}-model-{number}", zone)
        self.nodes = create_nodes(
            self.directory, ZONES, self.nodes_per_zone, self.store.port, self.record
        )
        for node in self.nodes:
            node.start()
        await self.wait_ready()
        await self._wait_groups()

    async def wait_ready(self) -> None:
        """Wait until all nodes are ready. Raises `SetupError`."""
        limit_s = self.record.now_s() + START_LIMIT_S
        while not all([await node.is_ready() for node in self.nodes]):
            if self.record.now_s() > limit_s:
                raise SetupError("the nodes did not become ready")
            await asyncio.sleep(0.1)

    async def _wait_groups(self) -> None:
        limit_s = self.record.now_s() + START_LIMIT_S
        while self._open_groups() < len(ZONES):
            if self.record.now_s() > limit_s:
                raise SetupError("the groups were not formed")
            await asyncio.sleep(0.1)

    def _open_groups(self) -> int:
        return sum(
            isinstance(server, ModelServer)
            and server.group is not None
            and server.group["state"] == "open"
            for server in self.servers
        )

    async def add_server(
        self, server_id: str, zone: str, kind: type[Server] = Server, **fields: Any
    ) -> Server:
        """Start a plain server."""
        server = kind(
            server_id,
            PLAIN_SERVICE,
            zone,
            self.store,
            self.record,
            self.runs,
            slots=self.slots,
            work_s=self.work_s,
            **fields,
        )
        await server.start()
        self.servers.append(server)
        return server

    async def add_model_server(self, server_id: str, zone: str) -> ModelServer:
        """Start a model server."""
        server = self.model_server_type(
            server_id,
            MODEL_SERVICE,
            zone,
            self.store,
            self.record,
            self.runs,
            domain=f"{zone}-d1",
        )
        await server.start()
        self.servers.append(server)
        return server

    def stop(self) -> None:
        """End all processes and servers."""
        for client in self._clients:
            client.close()
        for node in self.nodes:
            node.kill()
            node.log.close()
        for server in self.servers:
            server.stop()
        self.store.stop()

    def next_part(self) -> str:
        """Return the id of a prompt part that no other request has."""
        return f"{next(self._ids):08x}"

    async def request(
        self,
        client: "Client",
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        more_headers: dict[str, str] | None = None,
        deadline_ms: int = 1500,
        wait_s: float = 4.0,
    ) -> Attempt:
        """Send a request on the client's connection and note the outcome."""
        attempt = Attempt(
            f"a{next(self._ids)}", client.node.name, path, self.record.now_s()
        )
        self.attempts.append(attempt)
        self._clients.add(client)
        attempt.is_kept = client.writer is not None
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt.attempt_id,
            "X-Deadline-Milliseconds": str(deadline_ms),
            "Authorization": f"Token {KEY}",
            **(more_headers or {}),
        }
        data = encode_message(f"{method} {path} HTTP/1.1", headers, body)
        attempt.outcome = await client.exchange(data, wait_s)
        attempt.body = client.body
        attempt.ended_s = self.record.now_s()
        self.record.write(
            "request",
            attempt=attempt.attempt_id,
            node=attempt.node,
            method=method,
            path=path,
            sent=f"{attempt.sent_s:.3f}",
            outcome=attempt.outcome.replace(" ", "_"),
        )
        return attempt

    def _configuration(self) -> dict[str, Any]:
        shared = {
            "host": HOST,
            "timeout_ms": self.route_timeout_ms,
            "target_latency_ms": 400,
            "priority": 2,
            "anonymous_access": False,
        }
        plain = {**shared, "service": PLAIN_SERVICE}
        read = {"name": "r-read", "prefix": "/read/", "kind": "safe", "attempts": 2}
        post = {"name": "r-post", "prefix": "/post/", "kind": "unsafe", "attempts": 1}
        chat = {"name": "r-chat", "prefix": "/chat/", "kind": "streaming"}
        stream = {"attempts": 2, "stream_resumption": True, "session_affinity": True}
        target: dict[str, Any] = {"service": MODEL_SERVICE}
        if self.plain_stream_percent:
            weights = {
                MODEL_SERVICE: 100 - self.plain_stream_percent,
                PLAIN_SERVICE: self.plain_stream_percent,
            }
            target = {
                "traffic_split": [
                    {"service": name, "weight": weight}
                    for name, weight in weights.items()
                ]
            }
        model = {
            "name": MODEL,
            "size": self.group_size,
            "share": 1.0,
            "pace": 1.0,
            "load_time_s": 1.0,
            "warmup_s": 0.3,
        }
        engine = {
            "slots": 8,
            "models": [model],
            "formation_ms": 300.0,
            "loads_at_once": 6,
            "loads_per_s": 4.5,
        }
        return {
            "version": 7,
            "routes": [
                {**plain, **read},
                {**plain, **post},
                {**shared, **chat, **stream, **target},
            ],
            "services": [
                {
                    "name": MODEL_SERVICE,
                    "health_check_path": "/health",
                    "engine": engine,
                },
                {"name": PLAIN_SERVICE, "health_check_path": "/health"},
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": TENANT, "api_keys": [KEY]}],
        }


@dataclass(slots=True, eq=False)
class Client:
    """A client with one kept connection to a node."""

    node: Node
    writer: asyncio.StreamWriter | None = None
    # Body of the last complete response.
    body: bytes = b""
    _reader: asyncio.StreamReader | None = None

    async def exchange(self, data: bytes, wait_s: float) -> str:
        """Send a request and return the outcome."""
        self.body = b""
        try:
            if self.writer is None:
                async with asyncio.timeout(1.0):
                    self._reader, self.writer = await asyncio.open_connection(
                        self.node.host, FRONTEND_PORT
                    )
        except (OSError, TimeoutError):
            return "not connected"
        try:
            async with asyncio.timeout(wait_s):
                self.writer.write(data)
                message = await read_message(self._reader)
        except TimeoutError:
            self.close()
            return "no answer"
        except BrokenMessageError:
            self.close()
            return "closed"
        except OSError:
            self.close()
            return "reset"
        self.body = message.body
        if message.headers.get("connection", "").lower() == "close":
            self.close()
        return str(message.status)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = None


def has_trouble() -> bool:
    """Return whether the run includes the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    record_path: Path,
    case: Callable[[Deployment], Awaitable[bool]],
    **fields: Any,
) -> None:
    """Run a case, write its record, and exit with its result.

    `case` returns whether the rule held. Raises `SystemExit`.
    """
    record = Record(record_path)
    directory = Path(tempfile.mkdtemp(prefix="review-"))
    code = NOT_RUN
    try:
        code = asyncio.run(_run(Deployment(directory, record, **fields), case))
    except (SetupError, OSError, asyncio.CancelledError, KeyboardInterrupt) as exc:
        record.write("not_run", reason=repr(exc))
        sys.stdout.write(f"could not run: {exc!r}\n")
    finally:
        record.close()
        if "KEEP" in os.environ:
            sys.stdout.write(f"logs: {directory}\n")
        else:
            shutil.rmtree(directory, ignore_errors=True)
    sys.exit(code)


async def _run(
    deployment: Deployment, case: Callable[[Deployment], Awaitable[bool]]
) -> int:
    task = asyncio.current_task()
    if task is not None:
        # The processes are also ended if the script is stopped.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        await deployment.start()
        return HELD if await case(deployment) else BROKEN
    finally:
        deployment.stop()
