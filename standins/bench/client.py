"""Closed-loop load generator that runs as a process and does little per chunk."""

import asyncio
import itertools
import json
import time
from dataclasses import dataclass
from typing import Any, cast

import click
import uvloop

from ..http import HOST
from .figures import cpu_s

EVENT_PREFIX = b"data: "
# Events of a stream besides its tokens: the usage and the end marker.
EXTRA_EVENTS = 2
OK_LINE = b"HTTP/1.1 200"
END_OF_BODY = b"0\r\n\r\n"
ERROR_BACKOFF_S = 0.05
SELF_PID = "self"


@dataclass(frozen=True, slots=True)
class Load:
    """Parameters of a load, which keeps `connections` requests in flight."""

    port: int
    token: str
    model: str
    tokens: int
    connections: int


@dataclass(slots=True)
class Counts:
    """Counts of responses so far."""

    requests: int = 0
    chunks: int = 0
    errors: int = 0
    last_error: str = ""


class StreamConnection(asyncio.Protocol):
    """A persistent connection that sends one request after the other."""

    def __init__(self, counts: Counts) -> None:
        """Set the counters, which all connections share."""
        self._counts = counts
        self._finished: asyncio.Future[bool] | None = None
        self._tail = b""
        self._response_start = b""
        self._events = 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # The transports of uvloop do not derive from those of asyncio.
        self.transport = cast("asyncio.Transport", transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish the pending request as failed."""
        self.transport = None
        self._finish(whole=False)

    def data_received(self, data: bytes) -> None:
        """Count the events, including one that is split between two reads."""
        joined = self._tail + data
        events = joined.count(EVENT_PREFIX)
        self._events += events
        self._counts.chunks += events
        if len(self._response_start) < len(OK_LINE):
            self._response_start += data[: len(OK_LINE)]
        # One byte less than the prefix, so that no event is counted twice.
        self._tail = joined[1 - len(EVENT_PREFIX) :]
        if joined.endswith(END_OF_BODY):
            self._finish(whole=self._response_start.startswith(OK_LINE))
        elif not OK_LINE.startswith(self._response_start[: len(OK_LINE)]):
            self._finish(whole=False)

    async def async_request(self, request: bytes, events: int) -> bool:
        """Send a request; return whether its response has all events."""
        if self.transport is None:
            self._counts.last_error = "connection lost"
            return False
        self._tail, self._response_start, self._events = b"", b"", 0
        self._finished = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        whole = await self._finished
        if not whole or self._events != events:
            self._counts.last_error = f"{self._response_start!r}, {self._events} events"
            return False
        return True

    def _finish(self, *, whole: bool) -> None:
        if self._finished is not None and not self._finished.done():
            self._finished.set_result(whole)


def encode_request(load: Load, text: str) -> bytes:
    """Return a streamed chat request in its HTTP form."""
    body = json.dumps(
        {
            "model": load.model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": load.tokens,
            "stream": True,
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\n"
        f"Host: {HOST}:{load.port}\r\n"
        f"Authorization: Bearer {load.token}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def async_start_load(load: Load, start_s: float) -> Counts:
    """Start tasks that keep requests in flight; return the counts that they update."""
    counts = Counts()
    for worker in range(load.connections):
        task = asyncio.create_task(_async_run_worker(load, counts, worker, start_s))
        task.add_done_callback(_raise_failure)
        _WORKERS.add(task)
    return counts


async def _async_run_worker(
    load: Load, counts: Counts, worker: int, start_s: float
) -> None:
    # The first requests are spread over a second, so that workers are not in step.
    await asyncio.sleep(worker / load.connections)
    loop = asyncio.get_running_loop()
    connection: StreamConnection | None = None
    for number in itertools.count():
        if connection is None or connection.transport is None:
            _, connection = await loop.create_connection(
                lambda: StreamConnection(counts), HOST, load.port
            )
        request = encode_request(load, f"Load {start_s} {worker} {number}")
        if await connection.async_request(request, load.tokens + EXTRA_EVENTS):
            counts.requests += 1
            continue
        counts.errors += 1
        if connection.transport is not None:
            connection.transport.close()
        connection = None
        await asyncio.sleep(ERROR_BACKOFF_S)


_WORKERS: set[asyncio.Task[None]] = set()


def _raise_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        raise SystemExit(f"worker failed: {task.exception()!r}")


async def async_main(load: Load, start_s: float, seconds: float) -> dict[str, Any]:
    """Return the rates for `seconds` from `start_s`, a time of the monotonic clock."""
    counts = await async_start_load(load, start_s)
    await asyncio.sleep(max(0.0, start_s - time.monotonic()))
    before = (counts.requests, counts.chunks, counts.errors, cpu_s(SELF_PID))
    first_s = time.monotonic()
    await asyncio.sleep(seconds)
    took_s = time.monotonic() - first_s
    after = (counts.requests, counts.chunks, counts.errors, cpu_s(SELF_PID))
    names = ("requests_per_s", "chunks_per_s", "errors_per_s", "cpu_cores")
    rates = {
        name: (last - first) / took_s
        for name, first, last in zip(names, before, after, strict=True)
    }
    return {**rates, "last_error": counts.last_error}


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--token", required=True)
@click.option("--model", required=True)
@click.option("--tokens", type=int, required=True)
@click.option("--connections", type=int, required=True)
@click.option("--start-s", type=float, required=True, help="Monotonic clock.")
@click.option("--seconds", type=float, required=True)
def main(start_s: float, seconds: float, **options: Any) -> None:
    """Send load to an entry program and print its rates as JSON."""
    rates = uvloop.run(async_main(Load(**options), start_s, seconds))
    click.echo(json.dumps(rates))


if __name__ == "__main__":
    main()
