"""Minimal HTTP/1.1 messages over asyncio streams."""

import asyncio
from dataclasses import dataclass

MAX_HEAD_BYTES = 1 << 16


class BrokenMessageError(Exception):
    """The connection ended before the message was complete."""


@dataclass(slots=True)
class Message:
    """A request or response; header names are in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start_line.split()[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start_line.split()[0]

    @property
    def target(self) -> str:
        """Return the path and query of a request."""
        return self.start_line.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with its body. Raises `BrokenMessageError`."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        start_line, *lines = head.strip().split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError) as exc:
        raise BrokenMessageError(repr(exc)) from exc
    return Message(start_line, headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return bytes(body)


def encode_message(
    start_line: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return a message with a Content-Length header."""
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([start_line, *lines, f"Content-Length: {len(body)}"])
    return head.encode("latin-1") + b"\r\n\r\n" + body
