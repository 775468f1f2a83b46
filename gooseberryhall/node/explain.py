"""Answers operators where a request would be sent now."""

import asyncio

import msgspec

from ..exceptions import InvalidInputError
from ..gateway.caller import CallerConnection
from ..gateway.explain import explain_route
from ..gateway.explain_query import parse_query
from ..gateway.models import CallerRequest
from ..gateway.state import GatewayState
from ..transport.exchange import ResponseHead
from .listeners import Handler

EXPLAIN_PATH = b"/explain"


def create_explain_handler(state: GatewayState, others: Handler) -> Handler:
    """Return a handler of `/explain`; `others` handles all other paths."""

    async def async_respond(conn: CallerConnection, request: CallerRequest) -> None:
        if request.path != EXPLAIN_PATH:
            await others(conn, request)
            return
        status, answer = _answer(state, request)
        body = msgspec.json.encode(answer)
        head = ResponseHead(status, [(b"content-type", b"application/json")])
        conn.begin_response(head, length=len(body))
        conn.write_body(body)
        conn.end_response()

    return async_respond


def _answer(state: GatewayState, request: CallerRequest) -> tuple[int, object]:
    if request.method != b"GET":
        return 400, {"error": "the method must be GET"}
    try:
        query = parse_query(request.target.partition(b"?")[2])
        now_s = asyncio.get_running_loop().time()
        return 200, explain_route(state, query, now_s)
    except InvalidInputError as exc:
        return 400, {"error": str(exc)}
