"""Adapter to the model engines."""

from typing import Final

import aiohttp
from pydantic import TypeAdapter, ValidationError

from ..membership.models import MemberHealth
from .exceptions import EngineUnavailableError, MalformedResponseError

HEALTH_TIMEOUT_S: Final = 0.7

_HTTP_OK: Final = 200
_HEALTH: TypeAdapter[MemberHealth] = TypeAdapter(MemberHealth)


async def async_health(
    session: aiohttp.ClientSession, address: str, timeout_s: float = HEALTH_TIMEOUT_S
) -> tuple[MemberHealth, int]:
    """Return a member's health and the bytes of request and answer.

    Raises EngineUnavailableError or MalformedResponseError.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.get(f"{address}/health", timeout=timeout) as response:
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
