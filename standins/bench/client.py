"""Closed-loop load in a process of its own, with little work for each chunk."""

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

MARK = b"data: "
# Events of a stream beside its tokens: the usage and the end marker.
EXTRA_EVENTS = 2
OK_LINE = b"HTTP/1.1 200"
END_OF_BODY = b"0\r\n\r\n"
PAUSE_AFTER_ERROR_S = 0.05
OWN_PID = "self"


@dataclass(frozen=True, slots=True)
class Load:
    """What to send; `connections` requests are in flight at a time."""

    port: int
    token: str
    model: str
    tokens: int
    connections: int


@dataclass(slots=True)
class Counts:
    """What arrived so far."""

    requests: int = 0
    chunks: int = 0
    errors: int = 0
    last_error: str = ""


class Exchange(asyncio.Protocol):
    """A kept connection on which one request after the other is sent."""

    def __init__(self, counts: Counts) -> None:
        """Count into `counts`, which all connections share."""
        self._counts = counts
        self._ended: asyncio.Future[bool] | None = None
        self._tail = b""
        self._start = b""
        self._events = 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The transports of uvloop do not derive from those of asyncio.
        self.transport = cast("asyncio.Transport", transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request that is waiting."""
        self.transport = None
        self._end(whole=False)

    def data_received(self, data: bytes) -> None:
        """Count the events, also one that is cut between two reads."""
        joined = self._tail + data
        events = joined.count(MARK)
        self._events += events
        self._counts.chunks += events
        if len(self._start) < len(OK_LINE):
            self._start += data[: len(OK_LINE)]
        # One byte less than the mark, so that no event is counted twice.
        self._tail = joined[1 - len(MARK) :]
        if joined.endswith(END_OF_BODY):
            self._end(whole=self._start.startswith(OK_LINE))
        elif not OK_LINE.startswith(self._start[: len(OK_LINE)]):
            self._end(whole=False)

    async def async_request(self, request: bytes, events: int) -> bool:
        """Send a request; return whether its answer has all events."""
        if self.transport is None:
            self._counts.last_error = "connection lost"
            return False
        self._tail, self._start, self._events = b"", b"", 0
        self._ended = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        whole = await self._ended
        if not whole or self._events != events:
            self._counts.last_error = f"{self._start!r}, {self._events} events"
            return False
        return True

    def _end(self, *, whole: bool) -> None:
        if self._ended is not None and not self._ended.done():
            self._ended.set_result(whole)


def encode_request(load: Load, text: str) -> bytes:
    """Return the bytes of a streamed chat request."""
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


async def async_load(load: Load, start_s: float) -> Counts:
    """Keep a number of requests in flight until cancelled; count all that happens."""
    counts = Counts()
    for worker in range(load.connections):
        task = asyncio.create_task(_async_work(load, counts, worker, start_s))
        task.add_done_callback(_raise_failure)
        _WORKERS.add(task)
    return counts


async def _async_work(load: Load, counts: Counts, worker: int, start_s: float) -> None:
    # The first requests are spread over a second, so that they do not stay in step.
    await asyncio.sleep(worker / load.connections)
    loop = asyncio.get_running_loop()
    exchange: Exchange | None = None
    for number in itertools.count():
        if exchange is None or exchange.transport is None:
            _, exchange = await loop.create_connection(
                lambda: Exchange(counts), HOST, load.port
            )
        request = encode_request(load, f"Load {start_s} {worker} {number}")
        if await exchange.async_request(request, load.tokens + EXTRA_EVENTS):
            counts.requests += 1
            continue
        counts.errors += 1
        if exchange.transport is not None:
            exchange.transport.close()
        exchange = None
        await asyncio.sleep(PAUSE_AFTER_ERROR_S)


_WORKERS: set[asyncio.Task[None]] = set()


def _raise_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        raise SystemExit(f"worker failed: {task.exception()!r}")


async def async_main(load: Load, start_s: float, seconds: float) -> dict[str, Any]:
    """Count from a time of the monotonic clock on for some seconds."""
    counts = await async_load(load, start_s)
    await asyncio.sleep(max(0.0, start_s - time.monotonic()))
    before = (counts.requests, counts.chunks, counts.errors, cpu_s(OWN_PID))
    first_s = time.monotonic()
    await asyncio.sleep(seconds)
    took_s = time.monotonic() - first_s
    after = (counts.requests, counts.chunks, counts.errors, cpu_s(OWN_PID))
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
