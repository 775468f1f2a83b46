"""Recognises requests that crash the servers that run them."""

from dataclasses import dataclass, field
from hashlib import blake2b

from .const import CRASH_MEMORY_S, CRASH_TOLD_S, MAX_CRASHES, MAX_TOLD

_DIGEST_BYTES = 12


def fingerprint(team: str, method: bytes, target: bytes, body: bytes) -> str:
    """Return what repeats of one request have in common."""
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in (team.encode(), method, target, body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


@dataclass(slots=True)
class CrashSuspects:
    """Servers that were lost while they ran a request, by its fingerprint."""

    _servers: dict[str, dict[str, float]] = field(default_factory=dict)

    def note_crash(self, key: str, server_id: str, now_s: float) -> None:
        """Note that a server's connection broke while it ran the request."""
        self._servers.setdefault(key, {})[server_id] = now_s

    def note_success(self, key: str) -> None:
        """Clear a request that a server completed."""
        self._servers.pop(key, None)

    def is_blocked(self, key: str, now_s: float) -> bool:
        """Return whether the request has crashed too many servers."""
        servers = self._servers.get(key)
        if not servers:
            return False
        recent = [
            time_s for time_s in servers.values() if now_s - time_s < CRASH_MEMORY_S
        ]
        return len(recent) >= MAX_CRASHES

    def suspects(self, now_s: float) -> dict[str, list[str]]:
        """Return the latest suspects with their servers, to tell other nodes."""
        recent = {
            key: max(servers.values())
            for key, servers in self._servers.items()
            if servers and now_s - max(servers.values()) < CRASH_TOLD_S
        }
        latest = sorted(recent, key=lambda key: recent[key], reverse=True)
        return {key: sorted(self._servers[key]) for key in latest[:MAX_TOLD]}

    def merge(self, reported: dict[str, list[str]], now_s: float) -> None:
        """Take the suspects of another node."""
        for key, servers in reported.items():
            known = self._servers.setdefault(key, {})
            for server_id in servers:
                known.setdefault(server_id, now_s)

    def remove_expired(self, now_s: float) -> None:
        """Drop what is older than `CRASH_MEMORY_S`."""
        for key, servers in list(self._servers.items()):
            if all(now_s - time_s > CRASH_MEMORY_S for time_s in servers.values()):
                del self._servers[key]
