"""Detects requests that crash the servers that run them."""

import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import TypeVar

from .const import (
    ANSWER_TRUST_S,
    CRASH_AFTER_ABORT_S,
    CRASH_GOSSIP_S,
    CRASH_RETENTION_S,
    MAX_ANSWERED_TRAITS,
    MAX_CRASHED_SERVERS,
    MAX_GOSSIPED_ANSWERS,
    MAX_GOSSIPED_CRASHES,
    MAX_GOSSIPED_CRASHES_OF_REQUEST,
    MAX_GOSSIPED_PARTS,
    MAX_GOSSIPED_PARTS_OF_REQUEST,
    SAME_CRASH_S,
)
from .crash_causes import Crash, Evidence, find_causes
from .models import CrashReport, ReportedCrash
from .suspects import Suspect, Suspects

_T = TypeVar("_T")

_DIGEST_BYTES = 12


def request_fingerprint(team: str, method: bytes, target: bytes, body: bytes) -> str:
    """Return a digest that is equal for repetitions of a request by one team."""
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in (team.encode(), method, target, body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class _Abandoned:
    """A request that was aborted before its server answered."""

    fingerprint: str
    parts: tuple[str, ...]
    at_s: float


@dataclass(slots=True)
class CrashTracker:
    """Requests that were in flight at crashes, and the causes derived from them.

    A trait is the fingerprint of a request or the id of a part of its prompt.
    """

    _suspects: Suspects = field(default_factory=Suspects)
    # Known crashes by server id, in the order in which they were recorded.
    _crashes: dict[str, list[Crash]] = field(default_factory=dict)
    # Requests that this node aborted because of a cause, by server id.
    _abandoned: dict[str, list[_Abandoned]] = field(default_factory=dict)
    # Time of the last complete answer to a request with a trait, oldest first.
    _answered_s: dict[str, float] = field(default_factory=dict)
    # Combinations of traits that crash servers; None if they must be derived again.
    _causes: list[frozenset[str]] | None = None
    # Chooses what is told to peers first if there is too much for a message.
    _rng: random.Random = field(default_factory=random.Random)

    def record_crash(
        self,
        fingerprint: str,
        server_id: str,
        now_s: float,
        parts: tuple[str, ...] = (),
        incarnation: int = 0,
    ) -> None:
        """Record that a server's connection broke while it ran a request.

        `parts` are the ids of the shared parts of its prompt, `incarnation` is the tag
        of the server's incarnation, 0 if it is unknown.
        """
        crash = self._find_crash(Crash(server_id, now_s, incarnation))
        self._add(fingerprint, parts, crash)

    def record_abandoned(
        self, fingerprint: str, server_id: str, now_s: float, parts: tuple[str, ...]
    ) -> None:
        """Record that a request with a known cause was aborted at a server.

        It may already have begun to run. If the server crashes now, the other requests
        in flight there must not be blamed. The parts of the cause explain the crash.
        """
        explained = frozenset[str]().union(*self.causes())
        parts = tuple(part for part in parts if part in explained)
        item = _Abandoned(fingerprint, parts, now_s)
        self._abandoned.setdefault(server_id, []).append(item)
        for crash in self._crashes.get(server_id, ()):
            self._blame_abandoned(crash)

    def record_success(
        self, fingerprint: str, now_s: float, parts: tuple[str, ...] = ()
    ) -> None:
        """Record that a server completed a request.

        Most fingerprints are not seen again, so only those of suspects are kept.
        """
        for part in parts:
            self._record_answer(part, now_s)
        if fingerprint in self._suspects:
            self._record_answer(fingerprint, now_s)

    def is_blocked(self, traits: frozenset[str]) -> bool:
        """Return whether requests with these traits crash servers."""
        return any(cause <= traits for cause in self.causes())

    def causes(self) -> list[frozenset[str]]:
        """Return the combinations of traits that crash servers."""
        if self._causes is None:
            self._causes = find_causes(self._evidence(), MAX_CRASHED_SERVERS)
        return self._causes

    def crashed_servers(self, fingerprint: str) -> list[str]:
        """Return the ids of the servers that crashed while they ran the request."""
        suspect = self._suspects.get(fingerprint)
        return sorted({crash.server_id for crash in suspect.crashes}) if suspect else []

    def servers_crashed_by(self, cause: frozenset[str]) -> list[str]:
        """Return the ids of the servers that crashed under requests with a cause."""
        return sorted(
            {
                crash.server_id
                for suspect in self._suspects.all()
                if cause.issubset(suspect.traits)
                for crash in suspect.crashes
            }
        )

    def reports(self, now_s: float, *, with_causes: bool) -> tuple[CrashReport, ...]:
        """Return the most suspect requests for gossip.

        Those of the last seconds are included, and with `with_causes` also those from
        which the causes are derived, so that nodes that have just started know them.
        Of equally suspect requests and parts, each message holds others, so that peers
        learn of all of them.
        """
        causes = self.causes() if with_causes else []
        chosen = [
            suspect
            for suspect in self._suspects.all()
            if now_s - suspect.last_crash_s < CRASH_GOSSIP_S
            or any(cause.issubset(suspect.traits) for cause in causes)
        ]
        ranked = sorted(
            self._shuffled(chosen),
            key=lambda suspect: (
                self._crash_count(suspect),
                len(suspect.crashes),
                suspect.last_crash_s,
            ),
            reverse=True,
        )[:MAX_GOSSIPED_CRASHES]
        max_parts = min(
            MAX_GOSSIPED_PARTS_OF_REQUEST, MAX_GOSSIPED_PARTS // max(1, len(ranked))
        )
        return tuple(
            CrashReport(
                fingerprint=suspect.fingerprint,
                parts=self._most_suspect_parts(suspect, max_parts),
                crashes=_report_crashes(suspect.crashes, now_s),
            )
            for suspect in ranked
        )

    def _most_suspect_parts(self, suspect: Suspect, count: int) -> tuple[str, ...]:
        """Return the parts with the most crashes; those that are harmless last."""
        parts = suspect.parts
        if len(parts) <= count:
            return tuple(parts)

        def rank(part: str) -> tuple[bool, int]:
            harmless = self._is_harmless(part, suspect.last_crash_s)
            return harmless, -len(self._suspects.crashes_of(part))

        return tuple(sorted(self._shuffled(parts), key=rank)[:count])

    def _shuffled(self, items: Collection[_T]) -> list[_T]:
        return self._rng.sample(list(items), len(items))

    def harmless_traits(self, now_s: float) -> dict[str, int]:
        """Return traits of recent suspects that are harmless, for gossip.

        The values are the seconds since the last complete answer.
        """
        found: dict[str, int] = {}
        for suspect in self._suspects.all():
            if now_s - suspect.last_crash_s >= CRASH_GOSSIP_S:
                continue
            for trait in suspect.traits:
                answered_s = self._answered_s.get(trait)
                if answered_s is not None and now_s - answered_s < ANSWER_TRUST_S:
                    found[trait] = int(now_s - answered_s)
        told = self._shuffled(found)[:MAX_GOSSIPED_ANSWERS]
        return {trait: found[trait] for trait in told}

    def merge(
        self,
        reports: Collection[CrashReport],
        harmless: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Add what another node reported."""
        for trait, age_s in harmless.items():
            self._record_answer(trait, now_s - age_s)
        for report in reports:
            for reported in report.crashes:
                if reported.age_s < CRASH_RETENTION_S:
                    crash = Crash(
                        reported.server_id, now_s - reported.age_s, reported.incarnation
                    )
                    known = self._find_crash(crash)
                    self._add(report.fingerprint, report.parts, known)

    def remove_expired(self, now_s: float) -> None:
        """Remove crashes that are older than `CRASH_RETENTION_S`."""
        for server_id, items in list(self._abandoned.items()):
            if all(now_s - item.at_s > CRASH_AFTER_ABORT_S for item in items):
                del self._abandoned[server_id]
        oldest_s = now_s - CRASH_RETENTION_S
        expired = {
            crash
            for crashes in self._crashes.values()
            for crash in crashes
            if crash.at_s <= oldest_s
        }
        if expired:
            self._remove_crashes(expired)

    def _remove_crashes(self, expired: set[Crash]) -> None:
        self._causes = None
        for server_id, crashes in list(self._crashes.items()):
            self._crashes[server_id] = [
                crash for crash in crashes if crash not in expired
            ]
            if not self._crashes[server_id]:
                del self._crashes[server_id]
        self._suspects.remove_crashes(expired)

    def _add(self, fingerprint: str, parts: tuple[str, ...], crash: Crash) -> None:
        suspect = self._suspects.add(fingerprint, parts, crash)
        if suspect is None:
            return
        # Deriving the causes takes milliseconds, too much for each of the many streams
        # that break off together. Fewer crashes of a trait than this change nothing.
        if self._crash_count(suspect) >= MAX_CRASHED_SERVERS:
            self._causes = None
        if self._suspects.is_full:
            # Requests that were merely in flight go; those of causes are kept.
            self._suspects.remove_lowest(self._suspicion)

    def _suspicion(self, suspect: Suspect) -> tuple[int, float]:
        crashes = min(self._crash_count(suspect), MAX_CRASHED_SERVERS)
        return crashes, suspect.last_crash_s

    def _crash_count(self, suspect: Suspect) -> int:
        """Return the most crashes of a trait of the request that is not harmless."""
        return max(
            0
            if self._is_harmless(trait, suspect.last_crash_s)
            else len(self._suspects.crashes_of(trait))
            for trait in suspect.traits
        )

    def _find_crash(self, crash: Crash) -> Crash:
        """Return the known crash of a server at about this time, or keep this one.

        Nodes report the same crash at slightly different times. A server that started
        again with its old id may crash once more, also soon after.
        """
        crashes = self._crashes.setdefault(crash.server_id, [])
        same = [known for known in crashes if _is_same(known, crash)]
        if same:
            # Nodes of an earlier build do not tell the incarnation.
            return min(
                same,
                key=lambda known: (
                    known.incarnation != crash.incarnation,
                    abs(known.at_s - crash.at_s),
                ),
            )
        crashes.append(crash)
        self._blame_abandoned(crash)
        return crash

    def _blame_abandoned(self, crash: Crash) -> None:
        for item in self._abandoned.get(crash.server_id, ()):
            if abs(crash.at_s - item.at_s) < CRASH_AFTER_ABORT_S:
                self._add(item.fingerprint, item.parts, crash)

    def _record_answer(self, trait: str, at_s: float) -> None:
        previous_s = self._answered_s.pop(trait, at_s)
        self._answered_s[trait] = max(previous_s, at_s)
        if len(self._answered_s) > MAX_ANSWERED_TRAITS:
            del self._answered_s[next(iter(self._answered_s))]
        if any(trait in cause for cause in self._causes or ()):
            self._causes = None

    def _evidence(self) -> list[Evidence]:
        """Return the evidence without traits that were harmless before or since."""
        found = []
        for suspect in self._suspects.all():
            for crash in suspect.crashes:
                traits = frozenset(
                    trait
                    for trait in suspect.traits
                    if not self._is_harmless(trait, crash.at_s)
                )
                if traits:
                    found.append(Evidence(crash, traits))
        return found

    def _is_harmless(self, trait: str, crashed_s: float) -> bool:
        """Return whether an answer shows that a trait did not cause a crash."""
        answered_s = self._answered_s.get(trait)
        return answered_s is not None and crashed_s < answered_s + ANSWER_TRUST_S


def _is_same(known: Crash, crash: Crash) -> bool:
    """Return whether two records of a server may be of one crash."""
    tags = {known.incarnation, crash.incarnation}
    if len(tags) > 1 and 0 not in tags:
        return False
    return abs(known.at_s - crash.at_s) < SAME_CRASH_S


def _report_crashes(
    crashes: Collection[Crash], now_s: float
) -> tuple[ReportedCrash, ...]:
    """Return the latest crashes for a report, oldest first."""
    latest = sorted(crashes, key=lambda crash: crash.at_s)
    return tuple(
        ReportedCrash(crash.server_id, int(now_s - crash.at_s), crash.incarnation)
        for crash in latest[-MAX_GOSSIPED_CRASHES_OF_REQUEST:]
    )
