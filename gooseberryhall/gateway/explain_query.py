"""Decodes the question where a request would be sent."""

from typing import Annotated
from urllib.parse import parse_qsl

import msgspec

from ..exceptions import InvalidInputError
from ..fleet.models import Configuration
from .header_names import HeaderNames
from .models import CallerRequest

_Text = Annotated[str, msgspec.Meta(pattern=r"\A[!-~]{1,1024}\Z")]


class ExplainQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request as an operator describes it; empty fields are absent headers."""

    host: _Text
    path: Annotated[str, msgspec.Meta(pattern=r"\A/[!-~]{0,1023}\Z")]
    method: _Text = "GET"
    model: _Text = ""
    # Tokens of the prompt, and the maximum of the answer.
    tokens: Annotated[str, msgspec.Meta(pattern=r"\A[0-9]{1,9},[0-9]{1,9}\Z")] = ""
    deadline_ms: Annotated[str, msgspec.Meta(pattern=r"\A[0-9]{1,9}\Z")] = ""
    team: _Text = ""
    # Decides which requests still use a zone while its load is being shifted.
    id: _Text = "explain"


def parse_query(query: bytes) -> ExplainQuery:
    """Decode the query of a URL. Raises `InvalidInputError`."""
    try:
        pairs = parse_qsl(query.decode("ascii"), strict_parsing=True, max_num_fields=8)
        if len(dict(pairs)) < len(pairs):
            raise InvalidInputError("a field is repeated")
        return msgspec.convert(dict(pairs), ExplainQuery)
    except (ValueError, msgspec.ValidationError) as exc:
        raise InvalidInputError(str(exc)) from exc


def create_request(
    query: ExplainQuery, cfg: Configuration | None, names: HeaderNames, now_s: float
) -> CallerRequest:
    """Return the request as a caller would send it. Raises `InvalidInputError`."""
    headers = [(b"host", query.host.encode()), (names.request_id, query.id.encode())]
    if query.team and cfg is not None:
        teams = cfg.teams_by_key.items()
        keys = [key for key, team in teams if team.name == query.team]
        if not keys:
            raise InvalidInputError("there is no such team")
        headers.append((b"authorization", names.key_scheme + keys[0]))
    headers += [
        (name, value.encode())
        for name, value in (
            (names.model, query.model),
            (names.token_count, query.tokens),
            (names.deadline_ms, query.deadline_ms),
        )
        if value
    ]
    return CallerRequest(
        query.method.encode(), query.path.encode(), headers, b"", False, now_s
    )
