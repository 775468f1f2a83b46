"""Adapter to the control API of the engines: health and orders."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final

import aiohttp
from pydantic import TypeAdapter, ValidationError

from ..groups.models import Member
from ..membership.models import MemberHealth
from .exceptions import (
    EngineUnavailableError,
    MalformedResponseError,
    OrderRefusedError,
    StaleFenceError,
)

HEALTH_TIMEOUT_S: Final = 0.7
ORDER_TIMEOUT_S: Final = 5.0

# Health probes are the most frequent requests; these optional headers would be a third
# of their bytes.
_OMITTED_HEADERS: Final = ("Accept", "Accept-Encoding", "User-Agent")
_HTTP_OK: Final = 200
_HTTP_CONFLICT: Final = 409
_HTTP_SERVER_ERROR: Final = 500
_HEALTH: TypeAdapter[MemberHealth] = TypeAdapter(MemberHealth)


async def async_fetch_health(
    session: aiohttp.ClientSession, address: str, timeout_s: float = HEALTH_TIMEOUT_S
) -> tuple[MemberHealth, int]:
    """Return a member's health and the size in bytes of request and response.

    Raises EngineUnavailableError or MalformedResponseError.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.get(
            f"{address}/health", timeout=timeout, skip_auto_headers=_OMITTED_HEADERS
        ) as response:
            body = await response.read()
            if response.status != _HTTP_OK:
                raise EngineUnavailableError(f"health answered {response.status}")
            size = _header_bytes(response) + len(body)
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        raise EngineUnavailableError(str(exc) or type(exc).__name__) from exc
    try:
        return _HEALTH.validate_json(body), size
    except ValidationError as exc:
        raise MalformedResponseError("malformed health answer") from exc


def _header_bytes(response: aiohttp.ClientResponse) -> int:
    separators = len(": \r\n")
    sent = response.request_info.headers.items()
    received = response.raw_headers
    return sum(len(key) + len(value) + separators for key, value in sent) + sum(
        len(key) + len(value) + separators for key, value in received
    )


class OrderKind(StrEnum):
    """Kind of an order to an engine."""

    FORM = "form"
    RELEASE = "release"
    LOAD_ADAPTER = "load_adapter"


@dataclass(frozen=True, slots=True)
class Order:
    """An order to the engine of one VM.

    `fence` is the fencing token: the table revision of the transaction that decided the
    order.
    """

    kind: OrderKind
    vm: str
    address: str
    fence: int
    group: str
    generation: int
    rank: int = 0
    members: tuple[Member, ...] = ()
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()


async def async_send_order(
    session: aiohttp.ClientSession,
    order: Order,
    order_token: str | None,
    timeout_s: float = ORDER_TIMEOUT_S,
) -> None:
    """Send an order and wait until the engine has accepted it.

    Raises StaleFenceError, OrderRefusedError or EngineUnavailableError. After
    EngineUnavailableError the order may still take effect.
    """
    headers = {"Authorization": f"Bearer {order_token}"} if order_token else {}
    try:
        async with session.post(
            f"{order.address}/orders",
            json=_order_body(order),
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            if response.status != _HTTP_OK:
                await _async_raise_refusal(response)
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        raise EngineUnavailableError(str(exc) or type(exc).__name__) from exc


def _order_body(order: Order) -> dict[str, Any]:
    return {
        "order": order.kind.value,
        "fence": order.fence,
        "group": order.group,
        "generation": order.generation,
        "rank": order.rank,
        "members": [
            {"vm": member.vm, "address": member.address} for member in order.members
        ],
        "model": order.model,
        "version": order.version,
        "adapters": list(order.adapters),
    }


async def _async_raise_refusal(response: aiohttp.ClientResponse) -> None:
    if response.status >= _HTTP_SERVER_ERROR:
        raise EngineUnavailableError(f"engine answered {response.status}")
    code = await _async_error_code(response)
    if response.status == _HTTP_CONFLICT and code == StaleFenceError.code:
        raise StaleFenceError("engine has accepted a newer order")
    raise OrderRefusedError(f"engine answered {response.status} {code}".strip())


async def _async_error_code(response: aiohttp.ClientResponse) -> str:
    """Return the error code of a refusal, or an empty string.

    The body may hold the code as `error` or as `error.code`.
    """
    try:
        body = await response.json(content_type=None)
    except ValueError:
        return ""
    error = body.get("error") if isinstance(body, Mapping) else None
    if isinstance(error, Mapping):
        error = error.get("code")
    return error if isinstance(error, str) else ""
