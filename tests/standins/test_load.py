"""Tests that the load generator verifies every response."""

import json
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import test_utils, web

from standins.answers import expected_words
from standins.audit import find_command_violations
from standins.client import ServiceResult
from standins.load import LoadPlan, async_run_load

OUTCOMES = ("whole", "cut", "wrong", "error", "refused")


@pytest.fixture
async def entry() -> AsyncIterator[str]:
    """Return the address of a fake entry program that fails in each way in turn."""
    turn = 0

    async def async_chat(req: web.Request) -> web.StreamResponse:
        nonlocal turn
        outcome = OUTCOMES[turn % len(OUTCOMES)]
        turn += 1
        body = await req.json()
        if outcome == "refused":
            error = {"code": "overloaded", "ran": "no"}
            return web.json_response({"error": error}, status=503)
        response = web.StreamResponse()
        await response.prepare(req)
        words = expected_words(body["messages"], body["max_tokens"])
        if outcome == "wrong":
            words = words[1:]
        for index, word in enumerate(words):
            delta = {"content": f" {word}" if index else word}
            await _async_event(response, {"choices": [{"delta": delta}]})
        if outcome == "error":
            await _async_event(response, {"error": {"code": "stream_broken"}})
        if outcome not in ("cut", "error"):
            await response.write(b"data: [DONE]\n\n")
        return response

    async def _async_event(response: web.StreamResponse, data: Any) -> None:
        await response.write(f"data: {json.dumps(data)}\n\n".encode())

    app = web.Application()
    app.router.add_post("/v1/chat/completions", async_chat)
    async with test_utils.TestServer(app) as server:
        yield f"http://127.0.0.1:{server.port}"


async def test_only_whole_responses_count_as_whole(entry: str) -> None:
    """Guards against a cut or wrong response that is counted as whole."""
    plan = LoadPlan([entry], "t", "m", requests_per_s=200, duration_s=0.25)
    report = await async_run_load(plan)
    assert report.sent >= 10
    counts = [report.whole, report.wrong, report.refused["no"], report.cut // 2]
    assert max(counts) - min(counts) <= 1
    assert report.whole + report.wrong + report.cut + report.refused["no"] == (
        report.sent
    )
    assert report.errors["stream_broken"] > 0


def test_responses_that_contradict_the_records_are_found() -> None:
    """Guards against an audit that misses a second run or a false response."""
    commands = {
        "ok": ServiceResult(200),
        "open": ServiceResult(409, ran="unknown"),
        "twice": ServiceResult(200),
        "lost": ServiceResult(200),
        "false": ServiceResult(503, ran="no"),
    }
    runs = {"ok": 1, "open": 1, "twice": 2, "false": 1}
    violations = find_command_violations(commands, runs)
    assert [violation.split()[0] for violation in violations] == [
        "twice",
        "lost",
        "false",
    ]
