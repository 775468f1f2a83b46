"""Options file of the node program."""

import os
from pathlib import Path
from typing import Annotated, Final

import msgspec

from ..node.options import (
    DEFAULT_OPTIONS,
    HedgingOptions,
    InputLimits,
    NodeOptions,
)
from .exceptions import PlatformSettingsError

OPTIONS_VARIABLE: Final = "GOOSEBERRYHALL_OPTIONS"

_Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
_Quantile = Annotated[float, msgspec.Meta(gt=0.0, lt=1.0)]
_Positive = Annotated[int, msgspec.Meta(ge=1)]


class _Hedging(msgspec.Struct, forbid_unknown_fields=True):
    max_share: _Share = 0.0
    quantile: _Quantile = 0.95


class _InputLimits(msgspec.Struct, forbid_unknown_fields=True):
    held_bytes: _Positive | None = None
    connections: _Positive | None = None
    body_ms: _Positive | None = None
    unread_ms: _Positive | None = None
    bytes_per_body_byte: _Positive | None = None


class _Options(msgspec.Struct, forbid_unknown_fields=True):
    hedging: _Hedging = msgspec.field(default_factory=_Hedging)
    input_limits: _InputLimits = msgspec.field(default_factory=_InputLimits)


def load_options() -> NodeOptions:
    """Read the options file that the environment variable names, if it is set.

    Raises `PlatformSettingsError`.
    """
    path = os.environ.get(OPTIONS_VARIABLE)
    if not path:
        return DEFAULT_OPTIONS
    try:
        return decode_options(Path(path).read_bytes())
    except (OSError, msgspec.MsgspecError) as exc:
        raise PlatformSettingsError(f"{path}: {exc}") from exc


def decode_options(data: bytes) -> NodeOptions:
    """Decode an options file. Raises `msgspec.MsgspecError`."""
    raw = msgspec.json.decode(data, type=_Options)
    return NodeOptions(
        hedging=HedgingOptions(raw.hedging.max_share, raw.hedging.quantile),
        input_limits=InputLimits(
            held_bytes=raw.input_limits.held_bytes,
            connections=raw.input_limits.connections,
            body_ms=raw.input_limits.body_ms,
            unread_ms=raw.input_limits.unread_ms,
            bytes_per_body_byte=raw.input_limits.bytes_per_body_byte,
        ),
    )
