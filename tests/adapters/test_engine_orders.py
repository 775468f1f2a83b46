"""Tests of orders to engines."""

import asyncio
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from gooseberryhall.adapters.engine import Order, OrderKind, async_send_order
from gooseberryhall.adapters.exceptions import (
    EngineUnavailableError,
    OrderRefusedError,
    StaleFenceError,
)
from gooseberryhall.groups.models import Member

STALE_BODIES: list[dict[str, Any]] = [
    {"error": "stale_fence"},
    {"error": {"code": "stale_fence", "fence": 9}},
]


def make_order(address: str) -> Order:
    """Return a form order for the second of two members."""
    members = (Member("v1", "b1", "http://a:1"), Member("v2", "b2", "http://b:1"))
    return Order(
        OrderKind.FORM, "v2", address, 7, "g", 7, 1, members, "m", "3", ("lora",)
    )


async def async_order(
    status: int, body: object, token: str | None = None, timeout_s: float = 5.0
) -> list[dict[str, Any]]:
    """Send an order to an engine with a fixed response; return what it received.

    The engine does not respond if the status is 0.
    """
    received: list[dict[str, Any]] = []

    async def async_handle(req: web.Request) -> web.Response:
        received.append({**await req.json(), "auth": req.headers.get("Authorization")})
        if status == 0:
            await asyncio.sleep(60)
        return web.json_response(body, status=status)

    app = web.Application()
    app.router.add_post("/orders", async_handle)
    async with TestServer(app) as server, aiohttp.ClientSession() as session:
        order = make_order(str(server.make_url("")).rstrip("/"))
        await async_send_order(session, order, token, timeout_s)
    return received


async def test_order_carries_fence_rank_and_token() -> None:
    """Guards against orders that an engine cannot refuse as stale or unauthorized."""
    (received,) = await async_order(200, {}, token="secret")
    assert received == {
        "order": "form",
        "fence": 7,
        "group": "g",
        "generation": 7,
        "rank": 1,
        "members": [
            {"vm": "v1", "address": "http://a:1"},
            {"vm": "v2", "address": "http://b:1"},
        ],
        "model": "m",
        "version": "3",
        "adapters": ["lora"],
        "auth": "Bearer secret",
    }


@pytest.mark.parametrize("body", STALE_BODIES)
async def test_stale_fence_is_recognised(body: dict[str, Any]) -> None:
    """Guards against a stale fencing token that is reported as an unavailable engine.

    A stale token means that another node holds the lease.
    """
    with pytest.raises(StaleFenceError):
        await async_order(409, body)


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (409, {"error": "busy"}, OrderRefusedError),
        (401, [], OrderRefusedError),
        (503, {}, EngineUnavailableError),
        (0, {}, EngineUnavailableError),
    ],
)
async def test_failed_order_raises_the_matching_error(
    status: int, body: object, error: type[Exception]
) -> None:
    """Guards against reporting an order as refused that may still take effect."""
    with pytest.raises(error):
        await async_order(status, body, timeout_s=0.2)
