"""Asks a node program where a request would be sent."""

import json
from typing import Any

import aiohttp

from .const import CALL_TIMEOUT_S, CONNECT_TIMEOUT_S
from .exceptions import CliError, UnreachableError
from .output import INDENT, table_lines

_TIMEOUT = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
_COLUMNS = ("server_id", "zone", "in_flight", "slots", "limit", "places", "reason")
_HIDDEN = frozenset({"candidates", "verdict", "reason"})


async def async_explain_route(
    node_url: str, name: str, fields: dict[str, str]
) -> dict[str, Any]:
    """Return the answer of a node. `name` holds the host and path of the request."""
    host, slash, path = name.partition("/")
    params = {"host": host, "path": slash + path, **fields}
    url = f"{node_url.rstrip('/')}/explain"
    try:
        async with (
            aiohttp.ClientSession(timeout=_TIMEOUT) as session,
            session.get(url, params=params) as response,
        ):
            status, answer = response.status, json.loads(await response.read())
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        raise UnreachableError(
            f"{url}: {str(exc) or type(exc).__name__}",
            field="--node",
            fix="check the address of the node's metrics port",
        ) from exc
    except ValueError as exc:
        raise CliError(f"{url} did not answer with JSON", field="--node") from exc
    if status != 200:  # noqa: PLR2004
        raise CliError(str(answer.get("error")), fix="correct the named field")
    return dict(answer)


def route_lines(answer: dict[str, Any]) -> list[str]:
    """Format where a request would be sent, and the table of its candidates."""
    rows = [[column.upper() for column in _COLUMNS]]
    rows += [
        [_format(item.get(column)) for column in _COLUMNS]
        for item in answer.get("candidates", ())
    ]
    return [
        f"{answer['verdict']}: {answer['reason']}",
        *(
            f"{INDENT}{key}: {_format(value)}"
            for key, value in answer.items()
            if key not in _HIDDEN
        ),
        *table_lines(rows),
    ]


def _format(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3f}"
    return value if isinstance(value, str) else json.dumps(value)
