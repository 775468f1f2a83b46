"""Small HTTP/1.1 reader and writer for stand-ins and callers."""

import asyncio
from dataclasses import dataclass, field


@dataclass(slots=True)
class Message:
    """Start line, headers (lower case) and body of a message."""

    start: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""

    def get(self, name: str) -> str | None:
        """Return the first value of a header."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split()[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split()[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split()[1]


async def async_read_head(reader: asyncio.StreamReader) -> Message:
    """Read the start line and the headers."""
    data = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = data.removesuffix("\r\n\r\n").split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return Message(start, headers)


async def async_read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read the body of a message that has a length or chunks."""
    if (message.get("transfer-encoding") or "").lower() != "chunked":
        return await reader.readexactly(int(message.get("content-length") or 0))
    body = bytearray()
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return bytes(body)


def encode(
    start: str, headers: dict[str, str], body: bytes = b"", *, length: int | None = None
) -> bytes:
    """Return a message with a Content-Length header."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body) if length is None else length}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_chunk(data: bytes) -> bytes:
    """Return a chunk; an empty one ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
