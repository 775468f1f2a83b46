"""Writes the chunks of a streamed response."""

from asyncio import Transport
from typing import cast

from sanic import HTTPResponse, Request

# Up to this size of the write buffer a write cannot block, so the server's flow control
# is not needed.
UNSENT_LIMIT_BYTES = 16 * 1024


async def async_write_chunk(http: Request, response: HTTPResponse, data: bytes) -> None:
    """Write a chunk of a response whose headers were sent.

    Writes to the transport directly, because Sanic makes several calls and sends a
    signal for each write, which is most of the cost of a token. Sanic's method is used
    when the caller reads slowly or has disconnected.
    """
    # uvloop's transports implement the methods of Transport but do not derive from it.
    transport = cast("Transport | None", http.transport)
    if (
        transport is None
        or transport.is_closing()
        or transport.get_write_buffer_size() > UNSENT_LIMIT_BYTES
    ):
        await response.send(data)
        return
    transport.write(b"%x\r\n%b\r\n" % (len(data), data))
