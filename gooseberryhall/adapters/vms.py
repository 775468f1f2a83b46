"""Adapter to the platform's list of VMs."""

from typing import Protocol

import aiohttp
from pydantic import TypeAdapter, ValidationError

from ..groups.models import Vm
from .exceptions import MalformedResponseError, VmListUnavailableError

DEFAULT_TIMEOUT_S = 1.0
_HTTP_OK = 200
_VMS: TypeAdapter[dict[str, tuple[Vm, ...]]] = TypeAdapter(dict[str, tuple[Vm, ...]])


class VmList(Protocol):
    """The platform's list of live and leaving VMs, which is updated with a delay."""

    async def async_list(self) -> tuple[Vm, ...]:
        """Return all listed VMs. Raises VmListUnavailableError."""


class HttpVmList:
    """The VM list over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Use `session`, which the caller closes, for the list at `address`."""
        self._session = session
        self._url = f"{address}/vms"

    async def async_list(self) -> tuple[Vm, ...]:
        """Return all listed VMs. Raises VmListUnavailableError."""
        timeout = aiohttp.ClientTimeout(total=DEFAULT_TIMEOUT_S)
        try:
            async with self._session.get(self._url, timeout=timeout) as response:
                if response.status != _HTTP_OK:
                    raise VmListUnavailableError(f"VM list answered {response.status}")
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise VmListUnavailableError(str(exc) or type(exc).__name__) from exc
        try:
            return _VMS.validate_json(body)["vms"]
        except (ValidationError, KeyError) as exc:
            raise MalformedResponseError("malformed VM list") from exc
