"""Encodes messages as CBOR frames and validates received frames."""

from typing import Any

import cbor2
from pydantic import ValidationError
from websockets.exceptions import ConnectionClosed

from .const import CLOSE_TOO_BIG, MAX_FRAME_BYTES
from .exceptions import MalformedFrameError, OversizedFrameError
from .messages import MESSAGE_ADAPTER, EvidenceDigest, Heartbeat, Message


def decode_map(frame: bytes | str) -> dict[str, Any]:
    """Return the CBOR map in a frame. Raises MalformedFrameError."""
    if isinstance(frame, str):
        raise MalformedFrameError("text frame")
    try:
        value = cbor2.loads(frame)
    except (cbor2.CBORError, RecursionError, ValueError, TypeError) as exc:
        raise MalformedFrameError(f"not CBOR: {type(exc).__name__}") from exc
    if not isinstance(value, dict):
        raise MalformedFrameError("not a map")
    return value


def decode_message(frame: bytes | str) -> Message:
    """Return the validated message in a frame. Raises MalformedFrameError."""
    try:
        message: Message = MESSAGE_ADAPTER.validate_python(decode_map(frame))
    except ValidationError as exc:
        raise MalformedFrameError(_first_error(exc)) from exc
    return message


def encode_message(message: Message) -> bytes:
    """Return the frame of a message. Raises OversizedFrameError.

    String references avoid repeating field names in each report of a digest. The most
    frequent messages omit fields with default values.
    """
    is_frequent = isinstance(message, Heartbeat | EvidenceDigest)
    content = message.model_dump(
        mode="json", exclude_none=True, exclude_defaults=is_frequent
    )
    content["type"] = message.type
    frame = cbor2.dumps(content, string_referencing=True)
    if len(frame) > MAX_FRAME_BYTES:
        raise OversizedFrameError(f"{type(message).__name__} of {len(frame)} B")
    return frame


def _first_error(exc: ValidationError) -> str:
    """Describe the first error without its input, which may contain secrets."""
    first = exc.errors(include_url=False, include_input=False)[0]
    location = ".".join(str(part) for part in first["loc"])
    return f"{location}: {first['type']}"


def is_oversized_frame_close(exc: ConnectionClosed) -> bool:
    """Return whether this end closed the connection because of an oversized frame."""
    if exc.sent is None or exc.rcvd_then_sent:
        return False
    return exc.sent.code == CLOSE_TOO_BIG
