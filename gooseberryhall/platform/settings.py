"""Settings file of the node program, as the platform writes it."""

import os
import resource
import sys
from pathlib import Path
from typing import Annotated, Final

import msgspec

from ..node.settings import NodeSettings
from ..transport.address import Address, parse_address
from .decoding import decode_json
from .exceptions import PlatformSettingsError, RowFormatError
from .options import load_options

SETTINGS_VARIABLE: Final = "GOOSEBERRYHALL_SETTINGS"
MS_PER_S: Final = 1000
BYTES_PER_MB: Final = 1_000_000
# deploy/system.toml names the same port.
METRICS_PORT: Final = 9464


_NotNegative = Annotated[float, msgspec.Meta(ge=0.0)]


class _Listen(msgspec.Struct):
    # Address for requests of callers.
    frontend: str
    # Address for readiness checks of the platform's load balancer.
    ready: str


class _Bounds(msgspec.Struct):
    # Time between SIGTERM and SIGKILL.
    grace_period_s: float = 8.0
    # Time after which a server that announced that it leaves must get no requests.
    drain_timeout_ms: float = 2000.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    retry_budget_slack: float = 130.0
    # Time after which an evacuated zone must get no requests; 0 if zones are not
    # evacuated.
    evacuation_ms: _NotNegative = 0.0
    # A cold server must not get more requests in a second than its rate times the
    # factor, plus the constant.
    cold_overrun: _NotNegative = 1.0
    cold_slack: _NotNegative = 0.0


class _Limits(msgspec.Struct):
    # A process that exceeds this is killed.
    memory_mb: float = 256.0
    # Descriptors that a process may have open; absent: the limit of the system.
    file_descriptors: int | None = None


class _Store(msgspec.Struct):
    address: str


class _Settings(msgspec.Struct):
    node_name: str
    zone: str
    ip_address: str
    zones: dict[str, str]
    listen_addresses: _Listen
    # First and last port for traffic between nodes.
    internal_port_range: tuple[int, int]
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Time between two writes of a server's record.
    heartbeat_interval_ms: _NotNegative = 1200.0


def load_settings() -> NodeSettings:
    """Read the settings file that the environment variable names.

    Raises `PlatformSettingsError`.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise PlatformSettingsError(f"{SETTINGS_VARIABLE} is not set")
    try:
        return decode_settings(Path(path).read_bytes())
    except (OSError, RowFormatError, ValueError) as exc:
        raise PlatformSettingsError(f"{path}: {exc}") from exc


def decode_settings(data: bytes) -> NodeSettings:
    """Decode a settings file. Raises `RowFormatError` or `ValueError`."""
    raw = decode_json(data, _Settings, "settings")
    bounds = raw.bounds
    return NodeSettings(
        node=raw.node_name,
        zone=raw.zone,
        zones=tuple(sorted(raw.zones)),
        callers=parse_address(raw.listen_addresses.frontend),
        readiness=parse_address(raw.listen_addresses.ready),
        metrics=Address(raw.ip_address, METRICS_PORT),
        host=raw.ip_address,
        internal_port=raw.internal_port_range[0],
        store=parse_address(raw.platform.address),
        memory_bytes=int(raw.limits.memory_mb * BYTES_PER_MB),
        stop_grace_s=bounds.grace_period_s,
        leaving_limit_s=bounds.drain_timeout_ms / MS_PER_S,
        retry_ratio=bounds.retry_budget_ratio,
        retry_window_s=bounds.budget_window_s,
        retry_slack=bounds.retry_budget_slack,
        evacuation_limit_s=bounds.evacuation_ms / MS_PER_S,
        cold_overrun=bounds.cold_overrun,
        cold_slack=bounds.cold_slack,
        heartbeat_interval_s=raw.heartbeat_interval_ms / MS_PER_S,
        file_descriptors=_descriptors(raw.limits.file_descriptors),
        options=load_options(),
    )


def _descriptors(stated: int | None) -> int:
    """Return the lower of the stated limit and that of the system."""
    system, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if system == resource.RLIM_INFINITY:
        system = sys.maxsize
    return system if stated is None else min(stated, system)
