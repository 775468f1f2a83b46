"""Whether this node reaches the servers by itself. Pure state.

Load pattern: the network between this VM and all servers is lost, while callers and
peers still reach it. A server that is down looks the same from here; what tells them
apart is a peer that reaches a server which this node does not.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

# Servers to which no connection was made, so that the loss of one proves nothing.
MIN_UNREACHED_SERVERS: Final = 2
# Time for which a failed connection counts.
FAILURE_LIFETIME_S: Final = 1.5


class Reach(StrEnum):
    """What this node believes of its way to the servers."""

    DIRECT = "direct"
    # Connections failed; it is not known whether the servers or this VM are the cause.
    DOUBTED = "doubted"
    # A peer reaches servers that this node does not.
    PARTITIONED = "partitioned"


@dataclass(slots=True)
class ServerReach:
    """Connections to servers that this node opened, or could not open."""

    state: Reach = Reach.DIRECT
    # Servers to which no connection was made since the last one that was, and when.
    _failed_s: dict[str, float] = field(default_factory=dict)

    def needs_peer(self, server_id: str) -> bool:
        """Return whether requests go to a server by way of a peer."""
        if self.state is Reach.DOUBTED:
            return server_id in self._failed_s
        return self.state is Reach.PARTITIONED

    def record_connected(self) -> None:
        """Record that this node opened a connection to a server."""
        self._failed_s.clear()
        self.state = Reach.DIRECT

    def record_unconnected(self, server_id: str, now_s: float) -> None:
        """Record that this node could not open a connection to a server."""
        self._failed_s[server_id] = now_s
        for key, failed_s in list(self._failed_s.items()):
            if now_s - failed_s >= FAILURE_LIFETIME_S:
                del self._failed_s[key]
        is_doubtful = len(self._failed_s) >= MIN_UNREACHED_SERVERS
        if self.state is Reach.DIRECT and is_doubtful:
            self.state = Reach.DOUBTED

    def record_relayed(self, server_id: str) -> None:
        """Record that a peer passed a server's answer on."""
        if self.state is Reach.DOUBTED and server_id in self._failed_s:
            self.state = Reach.PARTITIONED
