"""Validates chat completion requests and writes their responses."""

import json
import secrets
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import sha256
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from sanic import HTTPResponse, Request

from ..config.models import Team
from ..config.state import ConfigState
from ..const import HEADER_REQUEST_ID
from ..requests.completion import assemble_completion
from ..requests.exceptions import RequestFailedError
from ..requests.models import ModelRequest
from ..routing.prefix import prompt_blocks
from ..routing.specs import choose_spec, find_model_kind
from .chunks import async_write_chunk
from .const import MODEL_PATH, REQUEST_ID_BYTES
from .deadline import parse_deadline
from .errors import close_after_response, error_body, invalid_request
from .frontend import Frontend

_STREAM_HEADERS = {"Cache-Control": "no-cache"}
_DATA = b"data: "
_EVENT_END = b"\n\n"
_EVENT_SEPARATOR = _EVENT_END + _DATA
_DONE = b"data: [DONE]\n\n"


class ChatBody(BaseModel):
    """The fields of a chat completion request that this program reads."""

    model_config = ConfigDict(extra="allow", frozen=True, strict=True)

    model: Annotated[str, Field(min_length=1, max_length=128)]
    messages: Annotated[list[dict[str, Any]], Field(min_length=1)]
    stream: bool | None = None


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """A valid chat completion request and the body for the engine."""

    request: ModelRequest
    body: bytes
    stream: bool


def parse_chat(
    config: ConfigState,
    team: Team,
    headers: Mapping[str, str],
    body: bytes,
    limit_s: float,
) -> ChatRequest:
    """Validate a chat completion request. Raises RequestFailedError.

    `limit_s` is the longest time that a request may take.
    """
    data, fields = _parse_body(body)
    kind = find_model_kind(config, fields.model, "POST", MODEL_PATH)
    spec = choose_spec(config, team, kind, fields.model)
    if spec is None:
        raise invalid_request(
            "model_not_found", "the team has no access to this model", 404
        )
    request = ModelRequest(
        request_id=f"chatcmpl-{secrets.token_hex(REQUEST_ID_BYTES)}",
        team=team.name,
        weight=team.weight,
        priority=team.priority,
        spec=spec.name,
        fingerprint=_fingerprint(team.name, body),
        blocks=prompt_blocks(_prompt_bytes(fields)),
        deadline_s=parse_deadline(headers, limit_s),
    )
    stream = bool(fields.stream)
    return ChatRequest(request, body if stream else _as_streaming_request(data), stream)


async def async_stream_chat(
    frontend: Frontend, http: Request, chat: ChatRequest
) -> None:
    """Forward the response as server-sent events.

    Raises RequestFailedError if the request fails before the first chunk; a later
    failure ends the stream with an error event.
    """
    headers = {HEADER_REQUEST_ID: chat.request.request_id, **_STREAM_HEADERS}
    response: HTTPResponse | None = None

    async def async_deliver(chunks: list[bytes]) -> None:
        nonlocal response
        if response is None:
            response = await http.respond(
                headers=headers, content_type="text/event-stream"
            )
            await response.send(_format_events(chunks))
        else:
            await async_write_chunk(http, response, _format_events(chunks))

    try:
        await frontend.async_run(chat.request, chat.body, async_deliver)
    except RequestFailedError as exc:
        if response is None:
            raise
        # Clients recognize an incomplete response by the missing end marker.
        error = error_body(exc.failure, chat.request.request_id)
        await response.send(_DATA + json.dumps(error).encode() + _EVENT_END)
        close_after_response(http)
        await response.send(end_stream=True)
        return
    if response is None:
        response = await http.respond(headers=headers, content_type="text/event-stream")
    await response.send(_DONE, end_stream=True)


async def async_buffered_chat(frontend: Frontend, chat: ChatRequest) -> HTTPResponse:
    """Return the complete response in one body. Raises RequestFailedError."""
    received: list[bytes] = []

    async def async_deliver(chunks: list[bytes]) -> None:
        received.extend(chunks)

    await frontend.async_run(chat.request, chat.body, async_deliver)
    headers = {HEADER_REQUEST_ID: chat.request.request_id}
    body = json.dumps(assemble_completion(received))
    return HTTPResponse(body, 200, headers, "application/json")


def _parse_body(body: bytes) -> tuple[dict[str, Any], ChatBody]:
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise invalid_request("invalid_json", "the body is not valid JSON") from exc
    try:
        return data, ChatBody.model_validate(data)
    except ValidationError as exc:
        first_error = exc.errors(include_url=False, include_input=False)[0]
        location = ".".join(str(part) for part in first_error["loc"]) or "body"
        raise invalid_request(
            "invalid_request", f"{location}: {first_error['msg']}"
        ) from exc


def _format_events(chunks: list[bytes]) -> bytes:
    return _DATA + _EVENT_SEPARATOR.join(chunks) + _EVENT_END


def _fingerprint(team: str, body: bytes) -> str:
    return sha256(b"\0".join((team.encode(), MODEL_PATH.encode(), body))).hexdigest()


def _prompt_bytes(fields: ChatBody) -> bytes:
    """Serialize the messages so that equal prompts have equal prefixes."""
    text = json.dumps([fields.model, fields.messages], separators=(",", ":"))
    return text.encode()


def _as_streaming_request(data: dict[str, Any]) -> bytes:
    """Return the body with streaming and with the usage in the last chunk."""
    changed = {**data, "stream": True, "stream_options": {"include_usage": True}}
    return json.dumps(changed, separators=(",", ":")).encode()
