"""Adapter to model engines."""

from typing import Protocol

import aiohttp
from pydantic import TypeAdapter, ValidationError

from ..membership.models import MemberHealth
from .exceptions import EngineUnavailableError, MalformedResponseError

HEALTH_TIMEOUT_S = 0.7
_OK = 200
_HEALTH: TypeAdapter[MemberHealth] = TypeAdapter(MemberHealth)


class Engine(Protocol):
    """The engines of all VMs, by address."""

    async def async_health(self, address: str) -> MemberHealth:
        """Return a member's health. Raises EngineUnavailableError."""


class HttpEngine:
    """Engines over HTTP."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Use `session`, which the caller owns and which keeps connections open."""
        self._session = session
        self.health_bytes = 0

    async def async_health(self, address: str) -> MemberHealth:
        """Return a member's health. Raises EngineUnavailableError."""
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        url = f"{address}/health"
        try:
            async with self._session.get(url, timeout=timeout) as response:
                body = await response.read()
                self.health_bytes += _size(response, body)
                if response.status != _OK:
                    raise EngineUnavailableError(f"health answered {response.status}")
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise EngineUnavailableError(str(exc) or type(exc).__name__) from exc
        try:
            return _HEALTH.validate_json(body)
        except ValidationError as exc:
            raise MalformedResponseError("malformed health answer") from exc


def _size(response: aiohttp.ClientResponse, body: bytes) -> int:
    """Return the bytes of a request and its answer, without TCP and IP headers."""
    sent = sum(len(k) + len(v) + 4 for k, v in response.request_info.headers.items())
    received = sum(len(k) + len(v) + 4 for k, v in response.raw_headers)
    return sent + received + len(body)
