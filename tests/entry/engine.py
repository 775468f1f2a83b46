"""A fake engine with scripted faults of its streams."""

import asyncio
import json
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from aiohttp import web


@dataclass
class Script:
    """Behavior of the engine for one attempt.

    The `*_after` fields are numbers of chunks that are sent before the fault.
    """

    status: int = 200
    break_after: int | None = None
    stall_after: int | None = None
    skip_after: int | None = None
    foreign_after: int | None = None
    echo: dict[str, str] = field(default_factory=dict)
    resumable: bool = True
    delay_s: float = 0.0


@dataclass
class FakeEngine:
    """The leader of one group.

    `scripts` apply to the next attempts in turn. `release` ends a scripted stall.
    """

    vm: str = "vm-1"
    boot_id: str = "boot-1"
    group: str = "group-1"
    generation: int = 7
    tokens: tuple[str, ...] = ("Silo ", "seven ", "is ", "dry.")
    scripts: list[Script] = field(default_factory=list)
    requests: list[dict[str, object]] = field(default_factory=list)
    headers: list[dict[str, str]] = field(default_factory=list)
    resumed_after: list[int] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    cancel_seen: asyncio.Event = field(default_factory=asyncio.Event)
    started: asyncio.Event = field(default_factory=asyncio.Event)
    release: asyncio.Event = field(default_factory=asyncio.Event)
    cache_events: list[dict[str, object]] = field(default_factory=list)
    address: str = ""
    _script: dict[str, Script] = field(default_factory=dict)

    async def async_start(self, stack: AsyncExitStack) -> None:
        """Listen on an ephemeral port."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        app.router.add_post("/v1/chat/completions", self._async_chat)
        app.router.add_get("/v1/streams/{id}", self._async_resume)
        app.router.add_delete("/v1/streams/{id}", self._async_cancel)
        app.router.add_get("/cache/events", self._async_cache_events)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"http://127.0.0.1:{runner.addresses[0][1]}"

    def chunks(self, request_id: str) -> list[str]:
        """Return the data of all chunks of a response."""
        deltas: list[dict[str, str]] = [{"role": "assistant", "content": ""}]
        deltas += [{"content": token} for token in self.tokens]
        choices = [{"index": 0, "delta": delta} for delta in deltas]
        last = {"index": 0, "delta": {}, "finish_reason": "stop"}
        base = {"id": request_id, "object": "chat.completion.chunk", "created": 1}
        return [
            json.dumps({**base, "model": "grain", "choices": [choice]})
            for choice in [*choices, last]
        ]

    async def _async_chat(self, req: web.Request) -> web.StreamResponse:
        self.requests.append(await req.json())
        self.headers.append(dict(req.headers))
        script = self.scripts.pop(0) if self.scripts else Script()
        request_id = req.headers["X-Request-Id"]
        self._script[request_id] = script
        if script.status != 200:
            error = {"code": "scripted", "message": "refused by the script"}
            return web.json_response({"error": error}, status=script.status)
        return await self._async_stream(req, script, request_id, 0)

    async def _async_resume(self, req: web.Request) -> web.StreamResponse:
        request_id, after = req.match_info["id"], int(req.query["after"])
        self.resumed_after.append(after)
        if not self._script[request_id].resumable:
            return web.json_response({"error": {"code": "gone"}}, status=404)
        script = self.scripts.pop(0) if self.scripts else Script()
        return await self._async_stream(req, script, request_id, after)

    async def _async_cancel(self, req: web.Request) -> web.Response:
        self.cancelled.append(req.match_info["id"])
        self.cancel_seen.set()
        return web.Response()

    async def _async_cache_events(self, req: web.Request) -> web.Response:
        after = int(req.query["after"])
        events = [item for item in self.cache_events if int(str(item["seq"])) > after]
        return web.json_response({"events": events})

    async def _async_stream(
        self, req: web.Request, script: Script, request_id: str, after: int
    ) -> web.StreamResponse:
        headers = {
            "X-Request-Id": request_id,
            "X-Group": self.group,
            "X-Generation": str(self.generation),
            "X-Boot-Id": self.boot_id,
            **script.echo,
        }
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(req)
        chunks = [*self.chunks(request_id), "[DONE]"]
        for sent, data in enumerate(chunks[after:]):
            if sent == script.break_after and req.transport is not None:
                self.started.set()
                req.transport.abort()
                return response
            if sent == script.stall_after:
                self.started.set()
                await self.release.wait()
            owner = "chatcmpl-foreign" if sent == script.foreign_after else request_id
            skipped = script.skip_after is not None and sent >= script.skip_after
            seq = after + sent + 1 + int(skipped)
            owned = data.replace(request_id, owner)
            await response.write(f"id: {seq}\ndata: {owned}\n\n".encode())
            await asyncio.sleep(script.delay_s)
        return response
