"""Plain HTTP/1.1 for servers and callers, with the end of each message checked."""

import asyncio
from dataclasses import dataclass

MAX_HEAD_BYTES = 1 << 16


class CutError(ConnectionError):
    """The connection ended before the message did."""


@dataclass(slots=True)
class Message:
    """A request or a response without its body."""

    first: str
    headers: dict[str, str]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first.split()[1])

    @property
    def path(self) -> str:
        """Return the path of a request."""
        return self.first.split()[1]


async def async_read_head(reader: asyncio.StreamReader) -> Message:
    """Read the first line and the headers. Raises `CutError`."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    except asyncio.IncompleteReadError as exc:
        raise CutError("no message") from exc
    first, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def async_read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read a body with a length or in chunks. Raises `CutError`."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            return await _async_read_chunks(reader)
        return await reader.readexactly(int(message.headers.get("content-length", 0)))
    except asyncio.IncompleteReadError as exc:
        raise CutError("the body is cut") from exc


async def _async_read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return bytes(body)


def encode_message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([first, *lines, f"content-length: {len(body)}"])
    return head.encode() + b"\r\n\r\n" + body


def encode_chunk(data: bytes) -> bytes:
    """Return a chunk; an empty one ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
