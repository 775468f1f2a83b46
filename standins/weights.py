"""Weight store of the platform stand-in, with a rate limit for all readers."""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp import web

from .http import error_response

CHUNK_BYTES = 64 * 1024
RETRY_AFTER_S = 1


@dataclass(slots=True)
class WeightStore:
    """Counts of readers, and when the shared rate limit allows the next chunk."""

    rate_bytes_per_s: float
    max_readers: int
    default_bytes: int
    readers: int = 0
    most_readers: int = 0
    finished: int = 0
    refused: int = 0
    next_chunk_at_s: float = 0.0

    def reserve(self, size_bytes: int, now_s: float) -> float:
        """Reserve the shared rate for a chunk; return the delay before sending it."""
        start_s = max(self.next_chunk_at_s, now_s)
        self.next_chunk_at_s = start_s + size_bytes / self.rate_bytes_per_s
        return self.next_chunk_at_s - now_s


def add_weight_routes(app: web.Application, store: WeightStore) -> None:
    """Add the route of the weights, which are sent at the shared rate."""

    async def async_weights(req: web.Request) -> web.StreamResponse:
        if store.readers >= store.max_readers:
            store.refused += 1
            response = error_response(HTTPStatus.TOO_MANY_REQUESTS, "too_many_readers")
            response.headers["Retry-After"] = str(RETRY_AFTER_S)
            return response
        store.readers += 1
        store.most_readers = max(store.most_readers, store.readers)
        try:
            sent = await _async_send(req, store)
            store.finished += 1
            return sent
        finally:
            store.readers -= 1

    app.router.add_get("/weights/{model}/{version}", async_weights)


async def _async_send(req: web.Request, store: WeightStore) -> web.StreamResponse:
    remaining = int(req.query.get("bytes", store.default_bytes))
    response = web.StreamResponse(headers={"Content-Length": str(remaining)})
    await response.prepare(req)
    loop = asyncio.get_running_loop()
    while remaining > 0:
        size = min(CHUNK_BYTES, remaining)
        await asyncio.sleep(store.reserve(size, loop.time()))
        await response.write(bytes(size))
        remaining -= size
    await response.write_eof()
    return response
