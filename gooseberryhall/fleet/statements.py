"""What servers say of themselves in their answers, and which of them may get work."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

from ..core.clock import now_s as boot_time_s
from .cold import StatedCold
from .models import BackendServer

# A peer repeats that a server leaves for as long as it knows the server. If it stops,
# the hint ends after this time.
HINT_LIFETIME_S: Final = 3.0
# What a server said is kept for this time after it was last listed, as the lists of two
# owners may differ for a moment.
UNLISTED_LIFETIME_S: Final = 30.0
# Time in which a server gets back its full share of requests after a pause, so that the
# callers of all nodes do not return at once.
RETURN_S: Final = 1.0
# A record that is newer than a stated cold time has arrived by then.
STATED_LIFETIME_S: Final = 5.0


@dataclass(frozen=True, slots=True)
class ServerStatement:
    """What a server says of itself in the headers of one answer."""

    # The server leaves; this holds until it starts again.
    leaving: bool = False
    # Time in seconds for which this node must send nothing; None if not stated.
    pause_s: float | None = None
    # Values that state nothing, because they are malformed.
    unusable: tuple[bytes, ...] = ()
    # Time for which the server is still cold; None if not stated.
    cold_s: float | None = None


NO_STATEMENT: Final = ServerStatement()


@dataclass(slots=True)
class ServerStatements:
    """Statements that this node received, and hints of its peers, by server id.

    Incarnations are compared by their tag, which peers know, too.
    """

    # Clock of cold times. It counts suspended time, as that of server records does.
    clock: Callable[[], float] = boot_time_s
    # Tags of the incarnations that said that they leave.
    _leaving: dict[str, int] = field(default_factory=dict)
    # The same from peers, with the time until which the hint holds.
    _hints: dict[str, tuple[int, float]] = field(default_factory=dict)
    _paused_until_s: dict[str, float] = field(default_factory=dict)
    # When these servers were last listed.
    _listed_s: dict[str, float] = field(default_factory=dict)
    # Last stated cold time: tag of the incarnation, its end and time of arrival.
    _cold: dict[str, tuple[int, float, float]] = field(default_factory=dict)

    def record(
        self, server: BackendServer, statement: ServerStatement, now_s: float
    ) -> bool:
        """Record a statement; return whether it changes which requests may be sent."""
        changed = False
        if statement.leaving and not self._said_leaving(server):
            self._leaving[server.server_id] = server.incarnation_tag
            changed = True
        if statement.pause_s:
            until_s = now_s + statement.pause_s
            earlier_s = self._paused_until_s.get(server.server_id, 0.0)
            changed = changed or earlier_s <= now_s
            self._paused_until_s[server.server_id] = max(until_s, earlier_s)
        if statement.cold_s is not None:
            arrived_s = self.clock()
            until_s = arrived_s + statement.cold_s
            self._cold[server.server_id] = (server.incarnation_tag, until_s, arrived_s)
        return changed

    def stated_cold(self, server: BackendServer) -> StatedCold | None:
        """Return what this incarnation of a server last said of its cold time."""
        stated = self._cold.get(server.server_id)
        if stated is None or stated[0] != server.incarnation_tag:
            return None
        now_s = self.clock()
        return StatedCold(max(0.0, stated[1] - now_s), now_s - stated[2])

    def record_hints(self, leaving: dict[str, int], now_s: float) -> None:
        """Record the incarnations of which a peer says that they leave."""
        for server_id, tag in leaving.items():
            self._hints[server_id] = (tag, now_s + HINT_LIFETIME_S)

    def leaving(self) -> dict[str, int]:
        """Return the tags of leaving incarnations, without the hints of peers."""
        return dict(self._leaving)

    def is_leaving(self, server: BackendServer, now_s: float) -> bool:
        """Return whether a server is listed as leaving, said so, or a peer heard it."""
        if server.leaving or self._said_leaving(server):
            return True
        hint = self._hints.get(server.server_id)
        return (
            hint is not None and hint[0] == server.incarnation_tag and now_s < hint[1]
        )

    def pause_s(self, server: BackendServer, now_s: float) -> float:
        """Return for how long this node must send nothing to a server; 0 if it may."""
        until_s = self._paused_until_s.get(server.server_id, 0.0)
        return max(0.0, until_s - now_s)

    def may_send(self, server: BackendServer, now_s: float) -> bool:
        """Return whether a request may be sent to a server now."""
        if self._paused_until_s.get(server.server_id, 0.0) > now_s:
            return False
        return not self.is_leaving(server, now_s)

    def usable_slots(self, server: BackendServer, slots: int, now_s: float) -> int:
        """Return how many slots may be used; after a pause they return gradually."""
        until_s = self._paused_until_s.get(server.server_id)
        if until_s is None or now_s >= until_s + RETURN_S:
            return slots
        share = max(0.0, now_s - until_s) / RETURN_S
        return max(1, int(slots * share))

    def soonest_return_s(
        self, servers: Iterable[BackendServer], now_s: float
    ) -> float | None:
        """Return the time until the first pause ends; None if a server has none."""
        pauses_s = [self.pause_s(server, now_s) for server in servers]
        return min(pauses_s) or None if pauses_s else None

    def retain(self, server_ids: Collection[str], now_s: float) -> None:
        """Forget the servers that are no longer listed, and what has expired."""
        for server_id in list(self._leaving):
            listed_s = self._listed_s.setdefault(server_id, now_s)
            if server_id in server_ids:
                self._listed_s[server_id] = now_s
            elif now_s - listed_s > UNLISTED_LIFETIME_S:
                del self._leaving[server_id]
                del self._listed_s[server_id]
        for server_id, (_, until_s) in list(self._hints.items()):
            if until_s <= now_s:
                del self._hints[server_id]
        for server_id, paused_until_s in list(self._paused_until_s.items()):
            if paused_until_s + RETURN_S <= now_s:
                del self._paused_until_s[server_id]
        cold_now_s = self.clock()
        for server_id, (_, until_s, arrived_s) in list(self._cold.items()):
            if max(until_s, arrived_s + STATED_LIFETIME_S) <= cold_now_s:
                del self._cold[server_id]

    def _said_leaving(self, server: BackendServer) -> bool:
        return self._leaving.get(server.server_id) == server.incarnation_tag
