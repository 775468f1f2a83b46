"""Orders to model servers and their direct reports."""

from typing import Any, Final

import msgspec

from ..fleet.models import BackendServer, Group
from ..fleet.orders import OrderOutcome
from ..transport.exceptions import TransportError
from ..transport.pool import ConnectionPool
from ..transport.request import async_call, encode_request
from .exceptions import RowFormatError
from .servers import ServerReport, decode_report

ORDER_TIMEOUT_S: Final = 0.6
REPORT_TIMEOUT_S: Final = 0.15

_OUTCOMES: Final = {
    200: OrderOutcome.DONE,
    202: OrderOutcome.STARTED,
    409: OrderOutcome.UNFIT,
    412: OrderOutcome.SUPERSEDED,
    421: OrderOutcome.OTHER_SERVER,
}


class EngineClient:
    """Sends orders to model servers and reads their reports."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Create a client over a connection pool."""
        self._pool = pool
        self.orders = 0
        self.reports = 0

    async def async_join(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        """Tell a server to become a member of a group."""
        body = {
            "operation": "join",
            "group": group.name,
            "epoch": group.epoch,
            "model": group.model,
            "members": list(group.members),
        }
        return await self._async_order(server, body, fencing_token)

    async def async_open(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        """Tell the head of a ready group to serve."""
        return await self._async_order(server, _scoped("open", group), fencing_token)

    async def async_leave(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        """Tell a server to leave a group at once."""
        return await self._async_order(server, _scoped("leave", group), fencing_token)

    async def async_stage(
        self, server: BackendServer, model: str, fencing_token: int
    ) -> OrderOutcome:
        """Tell a server to load a model's weights onto its host."""
        body = {"operation": "stage", "model": model}
        return await self._async_order(server, body, fencing_token)

    async def async_fetch_report(self, server: BackendServer) -> ServerReport | None:
        """Return what a server says of itself, or None if it does not answer."""
        headers = _headers(server)
        data = encode_request(b"GET", b"/v1/report", headers, b"")
        self.reports += 1
        try:
            reply = await async_call(
                self._pool, server.address, data, timeout_s=REPORT_TIMEOUT_S
            )
            if reply.head.status != 200:  # noqa: PLR2004
                return None
            return decode_report(reply.body)
        except (TransportError, RowFormatError):
            self._pool.drop(server.address)
            return None

    async def _async_order(
        self, server: BackendServer, body: dict[str, Any], fencing_token: int
    ) -> OrderOutcome:
        headers = _headers(server)
        headers.append((b"Content-Type", b"application/json"))
        content = msgspec.json.encode({**body, "fencing_token": fencing_token})
        data = encode_request(b"POST", b"/v1/order", headers, content)
        self.orders += 1
        try:
            reply = await async_call(
                self._pool, server.address, data, timeout_s=ORDER_TIMEOUT_S
            )
        except TransportError:
            self._pool.drop(server.address)
            return OrderOutcome.NO_ANSWER
        return _OUTCOMES.get(reply.head.status, OrderOutcome.UNFIT)


def _headers(server: BackendServer) -> list[tuple[bytes, bytes]]:
    return [
        (b"Host", str(server.address).encode()),
        (b"X-Expected-Instance", server.server_id.encode()),
    ]


def _scoped(operation: str, group: Group) -> dict[str, Any]:
    return {"operation": operation, "group": group.name, "epoch": group.epoch}
