"""Settings of the node program."""

from dataclasses import dataclass

from ..transport.pool import Address


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one node; durations are in seconds."""

    node: str
    zone: str
    zones: tuple[str, ...]
    # Listens for callers' requests.
    callers: Address
    # Listens for the load balancer's readiness questions.
    readiness: Address
    # Listens for readers of the metrics.
    metrics: Address
    # Address of this VM, and the port for datagrams between nodes.
    host: str
    internal_port: int
    store: Address
    # Time between SIGTERM and SIGKILL.
    stop_grace_s: float
    # Retries of a service that all nodes may send in a window, as a share of its
    # requests and as a number on top.
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
