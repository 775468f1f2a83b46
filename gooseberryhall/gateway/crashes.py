"""Detects requests that crash the servers that run them."""

from dataclasses import dataclass, field
from hashlib import blake2b

from .const import (
    CRASH_GOSSIP_S,
    CRASH_RETENTION_S,
    MAX_CRASHED_SERVERS,
    MAX_GOSSIPED_CRASHES,
)

_DIGEST_BYTES = 12


def request_fingerprint(team: str, method: bytes, target: bytes, body: bytes) -> str:
    """Return a digest that is equal for repetitions of a request by one team."""
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in (team.encode(), method, target, body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


@dataclass(slots=True)
class CrashTracker:
    """Servers that crashed while they ran a request, by the request's fingerprint."""

    # Time of the crash by fingerprint and server id.
    _crashes: dict[str, dict[str, float]] = field(default_factory=dict)

    def record_crash(self, key: str, server_id: str, now_s: float) -> None:
        """Record that a server's connection broke while it ran the request."""
        self._crashes.setdefault(key, {})[server_id] = now_s

    def record_success(self, key: str) -> None:
        """Remove a request that a server completed."""
        self._crashes.pop(key, None)

    def crashed_servers(self, key: str) -> list[str]:
        """Return the ids of the servers that crashed while they ran the request."""
        return sorted(self._crashes.get(key, ()))

    def is_blocked(self, key: str, now_s: float) -> bool:
        """Return whether the request has crashed too many servers."""
        servers = self._crashes.get(key)
        if not servers:
            return False
        recent = [
            time_s for time_s in servers.values() if now_s - time_s < CRASH_RETENTION_S
        ]
        return len(recent) >= MAX_CRASHED_SERVERS

    def suspects(self, now_s: float) -> dict[str, list[str]]:
        """Return the most recent crashes for gossip: server ids by fingerprint."""
        recent = {
            key: max(servers.values())
            for key, servers in self._crashes.items()
            if servers and now_s - max(servers.values()) < CRASH_GOSSIP_S
        }
        latest = sorted(recent, key=lambda key: recent[key], reverse=True)
        return {
            key: sorted(self._crashes[key]) for key in latest[:MAX_GOSSIPED_CRASHES]
        }

    def merge(self, reported: dict[str, list[str]], now_s: float) -> None:
        """Add the crashes reported by another node."""
        for key, servers in reported.items():
            crash_times_s = self._crashes.setdefault(key, {})
            for server_id in servers:
                crash_times_s.setdefault(server_id, now_s)

    def remove_expired(self, now_s: float) -> None:
        """Remove requests whose crashes are all older than `CRASH_RETENTION_S`."""
        for key, servers in list(self._crashes.items()):
            if all(now_s - time_s > CRASH_RETENTION_S for time_s in servers.values()):
                del self._crashes[key]
