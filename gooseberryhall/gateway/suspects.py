"""Requests that were in flight at crashes, bounded in number and in traits."""

from collections.abc import Callable, Collection
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from typing import Any

from .const import (
    KEPT_SUSPECT_TRAITS,
    KEPT_SUSPECTS,
    MAX_SUSPECT_TRAITS,
    MAX_SUSPECTS,
)
from .crash_causes import Crash


@dataclass(slots=True)
class Suspect:
    """A request that was in flight at crashes."""

    # Fingerprint of the request.
    fingerprint: str
    # The fingerprint and the ids of the shared parts of its prompt, in order. Reports
    # of peers hold some of the parts of a long prompt.
    traits: dict[str, None] = field(default_factory=dict)
    crashes: set[Crash] = field(default_factory=set)
    last_crash_s: float = 0.0

    @property
    def parts(self) -> list[str]:
        """Return the ids of the shared parts of its prompt."""
        return [trait for trait in self.traits if trait != self.fingerprint]

    def add(self, crash: Crash) -> None:
        """Add a crash."""
        self.crashes.add(crash)
        self.last_crash_s = max(self.last_crash_s, crash.at_s)


@dataclass(slots=True)
class Suspects:
    """Suspects by fingerprint, and crashes by trait."""

    _by_fingerprint: dict[str, Suspect] = field(default_factory=dict)
    # Crashes by trait of the suspects, also of harmless traits.
    _by_trait: dict[str, set[Crash]] = field(default_factory=dict)
    # Number of traits of all suspects.
    _trait_count: int = 0

    @property
    def is_full(self) -> bool:
        """Return whether some suspects must be removed."""
        return (
            len(self._by_fingerprint) > MAX_SUSPECTS
            or self._trait_count > MAX_SUSPECT_TRAITS
        )

    def __contains__(self, fingerprint: str) -> bool:
        """Return whether a request is a suspect."""
        return fingerprint in self._by_fingerprint

    def get(self, fingerprint: str) -> Suspect | None:
        """Return the suspect with a fingerprint."""
        return self._by_fingerprint.get(fingerprint)

    def all(self) -> Collection[Suspect]:
        """Return all suspects."""
        return self._by_fingerprint.values()

    def crashes_of(self, trait: str) -> AbstractSet[Crash]:
        """Return the crashes of the suspects with a trait."""
        return self._by_trait.get(trait, frozenset())

    def add(
        self, fingerprint: str, parts: Collection[str], crash: Crash
    ) -> Suspect | None:
        """Add a crash and the traits of a request; return None if all were known."""
        suspect = self._by_fingerprint.get(fingerprint)
        if suspect is None:
            suspect = self._by_fingerprint[fingerprint] = Suspect(fingerprint)
        added = [
            trait for trait in (fingerprint, *parts) if trait not in suspect.traits
        ]
        if crash in suspect.crashes and not added:
            return None
        suspect.traits.update(dict.fromkeys(added))
        self._trait_count += len(added)
        for trait in added:
            self._by_trait.setdefault(trait, set()).update(suspect.crashes)
        suspect.add(crash)
        for trait in suspect.traits:
            self._by_trait.setdefault(trait, set()).add(crash)
        return suspect

    def remove_crashes(self, expired: AbstractSet[Crash]) -> None:
        """Remove crashes, and the suspects that have no other."""
        for suspect in self.all():
            suspect.crashes -= expired
        self._keep([suspect for suspect in self.all() if suspect.crashes])

    def remove_lowest(self, rank: Callable[[Suspect], Any]) -> None:
        """Keep the suspects with the highest rank, as many as there is room for."""
        kept: list[Suspect] = []
        trait_count = 0
        ranked = sorted(self.all(), key=rank, reverse=True)
        for suspect in ranked[:KEPT_SUSPECTS]:
            trait_count += len(suspect.traits)
            if trait_count > KEPT_SUSPECT_TRAITS:
                break
            kept.append(suspect)
        self._keep(kept)

    def _keep(self, suspects: Collection[Suspect]) -> None:
        self._by_fingerprint = {item.fingerprint: item for item in suspects}
        self._trait_count = sum(len(suspect.traits) for suspect in suspects)
        self._by_trait = {}
        for suspect in suspects:
            for trait in suspect.traits:
                self._by_trait.setdefault(trait, set()).update(suspect.crashes)
