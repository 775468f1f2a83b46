"""Minimal HTTP/1.1 for servers and callers that detects truncated messages."""

import asyncio
from dataclasses import dataclass

MAX_HEAD_BYTES = 1 << 16


class TruncatedMessageError(ConnectionError):
    """The connection ended before the message did."""


@dataclass(slots=True)
class Message:
    """Start line and headers of a request or response."""

    start_line: str
    headers: dict[str, str]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start_line.split()[1])

    @property
    def path(self) -> str:
        """Return the path of a request."""
        return self.start_line.split()[1]


async def async_read_head(reader: asyncio.StreamReader) -> Message:
    """Read the start line and headers. Raises TruncatedMessageError."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    except asyncio.IncompleteReadError as exc:
        raise TruncatedMessageError("no message") from exc
    start_line, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start_line, headers)


async def async_read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read a body, chunked or with a length. Raises TruncatedMessageError."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            return await _async_read_chunks(reader)
        return await reader.readexactly(int(message.headers.get("content-length", 0)))
    except asyncio.IncompleteReadError as exc:
        raise TruncatedMessageError("the body is cut") from exc


async def _async_read_chunks(reader: asyncio.StreamReader) -> bytes:
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
    head = "\r\n".join([start_line, *lines, f"content-length: {len(body)}"])
    return head.encode() + b"\r\n\r\n" + body


def encode_chunk(data: bytes) -> bytes:
    """Return a chunk; an empty one ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
