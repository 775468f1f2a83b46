"""Client for orders to model servers and for their reports."""

import asyncio
from typing import Any, Final

import msgspec

from ..fleet.models import BackendServer, Group
from ..fleet.orders import OrderOutcome
from ..fleet.statements import ServerStatements
from ..transport.exceptions import TransportError
from ..transport.exchange import ResponseHead
from ..transport.pool import ConnectionPool
from ..transport.request import async_call, encode_request
from .exceptions import RowFormatError
from .servers import ServerReport, decode_report
from .statements import decode_statement

ORDER_TIMEOUT_S: Final = 0.6
REPORT_TIMEOUT_S: Final = 0.15
# Reports and answers to orders take a few hundred bytes. Many servers are asked at the
# same time, and one in trouble may send bytes without end.
MAX_ANSWER_BYTES: Final = 64 * 1024

_MISDIRECTED: Final = 421

_OUTCOMES: Final = {
    200: OrderOutcome.DONE,
    202: OrderOutcome.STARTED,
    400: OrderOutcome.UNFIT,
    409: OrderOutcome.UNFIT,
    412: OrderOutcome.SUPERSEDED,
    _MISDIRECTED: OrderOutcome.OTHER_SERVER,
    # A server that sheds work answers orders like requests.
    429: OrderOutcome.REFUSED,
    503: OrderOutcome.REFUSED,
}


class HttpEngineClient:
    """Sends orders to model servers and queries their reports."""

    def __init__(
        self, pool: ConnectionPool, statements: ServerStatements | None = None
    ) -> None:
        """Create a client that uses a pool and records what servers say."""
        self._pool = pool
        self._statements = statements or ServerStatements()

    async def async_join(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        """Order a server to join a group."""
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
        """Order the leader of a ready group to serve."""
        return await self._async_order(
            server, _create_group_order("open", group), fencing_token
        )

    async def async_leave(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        """Order a server to leave a group immediately."""
        return await self._async_order(
            server, _create_group_order("leave", group), fencing_token
        )

    async def async_stage(
        self, server: BackendServer, model: str, fencing_token: int
    ) -> OrderOutcome:
        """Order a server to load the weights of a model onto its host."""
        body = {"operation": "stage", "model": model}
        return await self._async_order(server, body, fencing_token)

    async def async_fetch_report(self, server: BackendServer) -> ServerReport | None:
        """Return the state that a server reports, or None if it does not answer."""
        headers = _headers(server)
        data = encode_request(b"GET", b"/v1/report", headers, b"")
        try:
            response = await async_call(
                self._pool,
                server.address,
                data,
                timeout_s=REPORT_TIMEOUT_S,
                max_bytes=MAX_ANSWER_BYTES,
                on_head=lambda head: self._record_statement(server, head),
            )
            if response.head.status != 200:  # noqa: PLR2004
                return None
            return decode_report(response.body)
        except (TransportError, RowFormatError):
            self._pool.close_idle(server.address)
            return None

    async def _async_order(
        self, server: BackendServer, body: dict[str, Any], fencing_token: int
    ) -> OrderOutcome:
        headers = _headers(server)
        headers.append((b"Content-Type", b"application/json"))
        content = msgspec.json.encode({**body, "fencing_token": fencing_token})
        data = encode_request(b"POST", b"/v1/order", headers, content)
        try:
            # Orders and their answers carry no id. On a reused connection, a second
            # copy of an earlier answer would be taken for the answer to this order.
            response = await async_call(
                self._pool,
                server.address,
                data,
                timeout_s=ORDER_TIMEOUT_S,
                max_bytes=MAX_ANSWER_BYTES,
                new_connection=True,
                on_head=lambda head: self._record_statement(server, head),
            )
        except TransportError:
            self._pool.close_idle(server.address)
            return OrderOutcome.NO_ANSWER
        # Another status, such as 500, does not tell whether the order was carried out.
        return _OUTCOMES.get(response.head.status, OrderOutcome.NO_ANSWER)

    def _record_statement(self, server: BackendServer, head: ResponseHead) -> None:
        # An answer of another server at this address says nothing about this one.
        if head.status == _MISDIRECTED:
            return
        now_s = asyncio.get_running_loop().time()
        self._statements.record(server, decode_statement(head), now_s)


def _headers(server: BackendServer) -> list[tuple[bytes, bytes]]:
    return [
        (b"Host", str(server.address).encode()),
        (b"X-Expected-Instance", server.server_id.encode()),
    ]


def _create_group_order(operation: str, group: Group) -> dict[str, Any]:
    return {"operation": operation, "group": group.name, "epoch": group.epoch}
