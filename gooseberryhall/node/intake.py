"""Bounds of a node's input, from its settings and options."""

from ..gateway.const import MAX_BODY_S, MAX_BYTES_PER_BODY_BYTE, MAX_UNREAD_S
from ..gateway.header_names import HeaderNames
from ..gateway.held import create_budget
from ..gateway.intake import InputBounds, Intake
from ..gateway.metrics import GatewayMetrics
from .options import InputLimits
from .settings import NodeSettings

_MS_PER_S = 1000


def create_bounds(limits: InputLimits) -> InputBounds:
    """Return the bounds; options can only lower the defaults."""
    return InputBounds(
        max_body_s=_lower(MAX_BODY_S, limits.body_ms, _MS_PER_S),
        max_unread_s=_lower(MAX_UNREAD_S, limits.unread_ms, _MS_PER_S),
        bytes_per_body_byte=int(
            _lower(MAX_BYTES_PER_BODY_BYTE, limits.bytes_per_body_byte)
        ),
    )


def create_intake(
    settings: NodeSettings, metrics: GatewayMetrics, names: HeaderNames
) -> Intake:
    """Return the state that the connections of all callers share."""
    limits = settings.options.input_limits
    return Intake(
        create_budget(settings.memory_bytes, limits.held_bytes),
        metrics,
        settings.memory_bytes,
        id_header=names.request_id,
        deadline_header=names.deadline_ms,
        bounds=create_bounds(limits),
    )


def _lower(default: float, lowered: int | None, unit: int = 1) -> float:
    return default if lowered is None else min(default, lowered / unit)
