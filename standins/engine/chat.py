"""Chat completions and their streams in the engine stand-in."""

import json
import time
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

from aiohttp import web

from ..answers import DEFAULT_MAX_TOKENS, expected_words
from ..http import (
    abort_connection,
    async_json_object,
    boot_time_s,
    error_response,
)
from .prefix_cache import PrefixCache, prompt_blocks
from .state import Engine, EngineState
from .streams import MS_PER_S, Stream, StreamPool, StreamResult

CRASH_MARKER = "CRASH-SERVER"
DEFAULT_PRIORITY = 5


def add_chat_routes(
    app: web.Application, engine: Engine, pool: StreamPool, cache: PrefixCache
) -> None:
    """Add the routes for chat completions and for resuming and cancelling streams."""

    async def async_chat(req: web.Request) -> web.StreamResponse:
        body = await async_json_object(req)
        refusal = _check_request(engine, pool, req)
        if refusal is not None:
            _record_refusal(engine, req, refusal.status)
            return refusal
        stream = _create_stream(engine, cache, req, body)
        _record_run(engine, req, body, stream)
        pool.async_submit(stream)
        return await _async_send(req, stream, 0)

    async def async_resume(req: web.Request) -> web.StreamResponse:
        stream = pool.streams.get(req.match_info["id"])
        if stream is None:
            return error_response(HTTPStatus.NOT_FOUND, "no_such_stream")
        after = req.query.get("after", "0")
        if not after.isdigit() or int(after) > len(stream.planned_frames):
            return error_response(HTTPStatus.BAD_REQUEST, "invalid_after")
        return await _async_send(req, stream, int(after))

    async def async_cancel(req: web.Request) -> web.Response:
        stream = pool.streams.pop(req.match_info["id"], None)
        if stream is None:
            return error_response(HTTPStatus.NOT_FOUND, "no_such_stream")
        pool.cancel(stream, StreamResult.CANCELLED)
        return web.json_response({"result": stream.result})

    app.router.add_post("/v1/chat/completions", async_chat)
    app.router.add_get("/v1/streams/{id}", async_resume)
    app.router.add_delete("/v1/streams/{id}", async_cancel)


def _echo_headers(engine: Engine, request_id: str) -> dict[str, str]:
    return {
        "X-Request-Id": request_id,
        "X-Group": engine.placement.group,
        "X-Generation": str(engine.placement.generation),
        "X-Boot-Id": engine.boot_id,
    }


def _check_request(
    engine: Engine, pool: StreamPool, req: web.Request
) -> web.Response | None:
    placement = engine.placement
    requested_group = (req.headers.get("X-Group"), req.headers.get("X-Generation"))
    is_own_group = requested_group == (placement.group, str(placement.generation))
    if not engine.options.ignore_group_header and not is_own_group:
        engine.records.wrong_group += 1
        return error_response(HTTPStatus.CONFLICT, "wrong_group")
    if not placement.is_leader:
        return error_response(HTTPStatus.CONFLICT, "not_lead")
    if engine.state() is not EngineState.SERVING:
        return error_response(HTTPStatus.SERVICE_UNAVAILABLE, "not_serving")
    request_id = req.headers.get("X-Request-Id", "")
    if not request_id:
        return error_response(HTTPStatus.BAD_REQUEST, "no_request_id")
    existing = pool.streams.get(request_id)
    if existing is not None and existing.result is StreamResult.RUNNING:
        return error_response(HTTPStatus.CONFLICT, "duplicate_request_id")
    return None


def _create_stream(
    engine: Engine, cache: PrefixCache, req: web.Request, body: dict[str, Any]
) -> Stream:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise web.HTTPBadRequest(text="messages must be a list")
    max_tokens = body.get("max_tokens") or body.get("max_completion_tokens")
    if max_tokens is not None and (not isinstance(max_tokens, int) or max_tokens < 1):
        raise web.HTTPBadRequest(text="max_tokens must be a positive number")
    blocks = prompt_blocks(str(body.get("model")), messages)
    cached = cache.store(blocks, boot_time_s())
    uncached = len(blocks) - cached
    options = engine.options
    request_id = req.headers["X-Request-Id"]
    priority = req.headers.get("X-Priority", "")
    text = json.dumps(messages, ensure_ascii=False)
    words = expected_words(messages, max_tokens or DEFAULT_MAX_TOKENS)
    prompt_tokens = len(text.split())
    return Stream(
        request_id=request_id,
        priority=int(priority) if priority.isdigit() else DEFAULT_PRIORITY,
        planned_frames=_create_frames(
            request_id, str(body.get("model")), words, prompt_tokens
        ),
        first_token_s=(options.first_token_ms + uncached * options.block_ms) / MS_PER_S,
        token_s=options.token_ms / MS_PER_S,
        headers=_echo_headers(engine, request_id),
        crashes_engine=options.crash_marker and CRASH_MARKER in text,
        prompt_blocks=len(blocks),
        cached_blocks=cached,
    )


def _create_frames(
    request_id: str, model: str, words: Sequence[str], prompt_tokens: int
) -> list[bytes]:
    common = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": model,
    }
    frames: list[bytes] = []
    for index, word in enumerate(words):
        is_first, is_last = index == 0, index == len(words) - 1
        delta = {"content": word if is_first else f" {word}"}
        if is_first:
            delta = {"role": "assistant", **delta}
        reason = "stop" if is_last else None
        choice = {"index": 0, "delta": delta, "finish_reason": reason}
        frames.append(_encode_frame(len(frames) + 1, {**common, "choices": [choice]}))
    usage = {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": len(words),
        "total_tokens": prompt_tokens + len(words),
    }
    frames.append(
        _encode_frame(len(frames) + 1, {**common, "choices": [], "usage": usage})
    )
    frames.append(f"id: {len(frames) + 1}\ndata: [DONE]\n\n".encode())
    return frames


def _encode_frame(seq: int, chunk: dict[str, Any]) -> bytes:
    data = json.dumps(chunk, separators=(",", ":"))
    return f"id: {seq}\ndata: {data}\n\n".encode()


def _record_run(
    engine: Engine, req: web.Request, body: dict[str, Any], stream: Stream
) -> None:
    engine.records.started += 1
    engine.records.runs.append(
        {
            "request_id": req.headers["X-Request-Id"],
            "named_group": req.headers.get("X-Group"),
            "named_generation": req.headers.get("X-Generation"),
            "group": engine.placement.group,
            "generation": engine.placement.generation,
            "members": dict(engine.joined),
            "model": body.get("model"),
            "priority": req.headers.get("X-Priority"),
            "deadline_ms": req.headers.get("X-Deadline-Ms"),
            "started_at_s": boot_time_s(),
            "blocks": stream.prompt_blocks,
            "cached": stream.cached_blocks,
        }
    )


def _record_refusal(engine: Engine, req: web.Request, status: int) -> None:
    engine.records.refusals.append(
        {
            "named_group": req.headers.get("X-Group"),
            "named_generation": req.headers.get("X-Generation"),
            "status": status,
            "started_at_s": boot_time_s(),
        }
    )


async def _async_send(
    req: web.Request, stream: Stream, after: int
) -> web.StreamResponse:
    """Send the events after `after`; close the connection if the stream breaks."""
    response = web.StreamResponse(
        headers={**stream.headers, "Content-Type": "text/event-stream"}
    )
    stream.readers += 1
    seq = after
    try:
        await response.prepare(req)
        while await stream.async_wait_after(seq):
            pending = stream.frames[seq:]
            seq += len(pending)
            await response.write(b"".join(pending))
        if stream.result is not StreamResult.FINISHED:
            return _abort_response(req, response)
        await response.write_eof()
        return response
    finally:
        stream.readers -= 1
        stream.idle_since_s = boot_time_s()


def _abort_response(
    req: web.Request, response: web.StreamResponse
) -> web.StreamResponse:
    """Close the connection of an incomplete response."""
    abort_connection(req)
    return response
