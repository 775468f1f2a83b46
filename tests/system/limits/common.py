"""A node process with low limits, and a crowd of callers."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from tests.platform.common import CALLER_PORT, RunningNode

MEMORY_MB = 96
FILE_DESCRIPTORS = 600
MAX_BODY_BYTES = 2 * 1024 * 1024
PROCESS_LIMITS = {"memory_mb": MEMORY_MB, "file_descriptors": FILE_DESCRIPTORS}
CALLER_LIMITS = {"max_body_bytes": MAX_BODY_BYTES, "idle_timeout_ms": 8000}
# The other half is for the program itself.
MAX_GROWTH_BYTES = MEMORY_MB * 1_000_000 // 2
# Longest time for what one caller of a crowd sends.
SEND_LIMIT_S = 8.0
# Time for which a crowd stays connected after it has sent all.
STAY_S = 2.0
HEAD = (
    b"POST /p/1 HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: 8\r\n"
    b"authorization: Token k1\r\n"
)

Caller = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Use:
    """What a process uses."""

    memory_bytes: int
    # The most memory that it has used at any time.
    peak_bytes: int
    descriptors: int


def read_use(pid: int) -> Use:
    """Read what a process uses. Raises `OSError` if it has ended."""
    process = Path(f"/proc/{pid}")
    lines = (process / "status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    return Use(
        memory_bytes=int(fields["VmRSS"].split()[0]) * 1024,
        peak_bytes=int(fields["VmHWM"].split()[0]) * 1024,
        descriptors=len(list((process / "fd").iterdir())),
    )


@asynccontextmanager
async def async_crowd(
    node: RunningNode, count: int, call: Caller
) -> AsyncIterator[None]:
    """Connect callers that all run `call`; they stay connected within the block."""
    writers: list[asyncio.StreamWriter] = []

    async def async_call(number: int) -> None:
        try:
            async with asyncio.timeout(SEND_LIMIT_S):
                reader, writer = await node.async_connect()
                writers.append(writer)
                await call(reader, writer, number)
        except (OSError, TimeoutError):
            # The node may refuse such a caller or close its connection.
            pass

    try:
        await asyncio.gather(*(async_call(number) for number in range(count)))
        await asyncio.sleep(STAY_S)
        yield
    finally:
        for writer in writers:
            writer.transport.abort()


async def async_check(
    node: RunningNode,
    count: int,
    call: Caller,
    *,
    max_descriptors: int = FILE_DESCRIPTORS,
) -> None:
    """Check that a node stays within its limits and serves beside a crowd."""
    start = read_use(node.process.pid)
    async with async_crowd(node, count, call):
        use = read_use(node.process.pid)
        response = await node.async_get(CALLER_PORT, "/p/1")
    grown_bytes = use.peak_bytes - start.memory_bytes
    assert node.process.returncode is None
    assert grown_bytes <= MAX_GROWTH_BYTES, f"grown by {grown_bytes} bytes"
    assert use.descriptors <= max_descriptors, f"{use.descriptors} descriptors"
    assert response.startswith(b"HTTP/1.1 200")
    assert response.endswith(b"done")
