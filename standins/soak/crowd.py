"""Callers outside the limits, and the checks of the nodes beside them."""

import asyncio
import signal
from collections.abc import Iterable
from contextlib import suppress

from .callers import Callers, RequestKind
from .const import CALLER_PORT, HOST_NAME, KEY, MAX_BODY_BYTES, ROUTE_TIMEOUT_S
from .environment import Environment, SoakNode
from .records import STORE, Promise

BODIES = 48
HEADS = 8
HEAD_PIECES = 1000
PIECE = bytes(1 << 17)
PIECE_PERIOD_S = 0.02
CALL_PERIOD_S = 0.4
# Exit codes of a planned stop; a program that just started has no handler yet.
STOP_CODES = frozenset({0, -signal.SIGTERM})


async def async_check_crowd(
    env: Environment, callers: Callers, node: SoakNode, for_s: float
) -> None:
    """Send a crowd to a node, which must stay alive and answer ordinary callers."""
    records, popen = env.records, node.process.popen
    crowd = [asyncio.create_task(_async_send(node, pieces)) for pieces in _crowd()]
    since_s = records.now_s()
    outcomes = set()
    # The last calls begin after the longest time that an answer may take.
    while records.now_s() < since_s + for_s + ROUTE_TIMEOUT_S:
        outcome = await callers.async_call(node, RequestKind.READ)
        outcomes.add("evacuated" if records.evacuated_s else outcome)
        await asyncio.sleep(CALL_PERIOD_S)
    for task in crowd:
        task.cancel()
    await asyncio.gather(*crowd, return_exceptions=True)
    code = None if popen is None else popen.poll()
    if not records.is_undisturbed(node.name, STORE, for_s=records.now_s() - since_s):
        return
    is_served = code in STOP_CODES or outcomes & {"200", "evacuated"}
    if not is_served or code not in {None, *STOP_CODES}:
        records.record_violation(Promise.CROWD, f"{node.name}: {code}, {outcomes}")


def _crowd() -> Iterable[Iterable[bytes]]:
    """Return the bytes of each caller: bodies without their end, and endless heads."""
    head = f"POST /command/crowd HTTP/1.1\r\nhost: {HOST_NAME}\r\n"
    head += f"authorization: Token {KEY}\r\n"
    body = [PIECE] * (MAX_BODY_BYTES // len(PIECE) - 1) + [PIECE[1:]]
    chunked = f"transfer-encoding: chunked\r\n\r\n{MAX_BODY_BYTES:x}"
    for end in (f"content-length: {MAX_BODY_BYTES}\r\n", chunked) * (BODIES // 2):
        yield [f"{head}{end}\r\n".encode(), *body]
    for number in range(HEADS):
        yield [head.encode(), *[b"x: 1\r\n" * (8 << number)] * HEAD_PIECES]


async def _async_send(node: SoakNode, pieces: Iterable[bytes]) -> None:
    """Send pieces and keep the connection open until cancelled or closed."""
    with suppress(OSError):
        reader, writer = await asyncio.open_connection(node.host, CALLER_PORT)
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(PIECE_PERIOD_S)
            await reader.read()
        finally:
            writer.transport.abort()
