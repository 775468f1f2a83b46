"""Adapter to the platform's object store."""

from typing import Protocol

import aiohttp

from .exceptions import ObjectStoreUnavailableError

DEFAULT_TIMEOUT_S = 2.0
_HTTP_SUCCESS = (200, 201, 204)
_HTTP_NOT_FOUND = 404


class ObjectStore(Protocol):
    """A store of immutable byte strings."""

    async def async_put(self, key: str, data: bytes) -> None:
        """Store data. Raises ObjectStoreUnavailableError."""

    async def async_get(self, key: str) -> bytes | None:
        """Return data or None. Raises ObjectStoreUnavailableError."""

    async def async_delete(self, key: str) -> None:
        """Remove data. Raises ObjectStoreUnavailableError."""


class HttpObjectStore:
    """The object store over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Use `session`, which the caller closes, for the store at `address`."""
        self._session = session
        self._address = address

    async def async_put(self, key: str, data: bytes) -> None:
        """Store data. Raises ObjectStoreUnavailableError."""
        await self._async_call("PUT", key, data)

    async def async_get(self, key: str) -> bytes | None:
        """Return data or None. Raises ObjectStoreUnavailableError."""
        return await self._async_call("GET", key)

    async def async_delete(self, key: str) -> None:
        """Remove data. Raises ObjectStoreUnavailableError."""
        await self._async_call("DELETE", key)

    async def _async_call(
        self, method: str, key: str, data: bytes | None = None
    ) -> bytes | None:
        timeout = aiohttp.ClientTimeout(total=DEFAULT_TIMEOUT_S)
        url = f"{self._address}/objects/{key}"
        try:
            async with self._session.request(
                method, url, data=data, timeout=timeout
            ) as response:
                if response.status == _HTTP_NOT_FOUND:
                    return None
                if response.status not in _HTTP_SUCCESS:
                    raise ObjectStoreUnavailableError(
                        f"object store answered {response.status}"
                    )
                return await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise ObjectStoreUnavailableError(str(exc) or type(exc).__name__) from exc
