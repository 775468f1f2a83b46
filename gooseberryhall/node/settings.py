"""Settings of the node program."""

from dataclasses import dataclass

from ..transport.address import Address
from .options import DEFAULT_OPTIONS, NodeOptions


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one node; durations are in seconds."""

    node: str
    zone: str
    zones: tuple[str, ...]
    # Listening address for requests of callers.
    callers: Address
    # Listening address for readiness checks of the load balancer.
    readiness: Address
    # Listening address for metrics.
    metrics: Address
    # Address of this VM, and the port for datagrams between nodes.
    host: str
    internal_port: int
    store: Address
    # Memory above which the platform kills the process.
    memory_bytes: int
    # Time between SIGTERM and SIGKILL.
    stop_grace_s: float
    # Time after which a server that announced that it leaves must get no requests.
    leaving_limit_s: float
    # Retries of a service that all nodes together may send in a window: a share of its
    # requests, plus a constant number.
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    # Time after which an evacuated zone must get no requests; 0 if zones are not
    # evacuated.
    evacuation_limit_s: float = 0.0
    # A cold server must not get more requests in a second than its rate times the
    # factor, plus the constant.
    cold_overrun: float = 1.0
    cold_slack: float = 0.0
    # Time between two writes of a server's record.
    heartbeat_interval_s: float = 1.2
    # Descriptors that the process may have open.
    file_descriptors: int = 1024
    options: NodeOptions = DEFAULT_OPTIONS
