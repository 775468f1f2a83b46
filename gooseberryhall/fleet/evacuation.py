"""Evacuations of availability zones, and the share of traffic that a zone still gets.

Load pattern: all load of a zone moves to the other zones at once, while it is at its
usual level. The load is shifted step by step, so that the groups of the other zones
take it over before the zone is cut off. Pure state and decisions; all times are those
of one clock of the caller, and the clock of the store is not used.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final, NamedTuple

# Share of the limit within which the load is shifted. The rest covers the time until
# the last node learns of the evacuation, and requests that are on their way.
SHIFT_SHARE: Final = 0.5
# Time for which nodes announce that an evacuation ended, so that older updates lose.
END_ANNOUNCED_S: Final = 30.0


class _RowVersion(NamedTuple):
    """Version of a row. A store that goes back counts again, in the next era."""

    era: int
    number: int


_NOT_READ: Final = _RowVersion(0, 0)


@dataclass(frozen=True, slots=True)
class EvacuationUpdate:
    """The last known write of a zone's row."""

    # Version of the row, or of the store if the row was found missing.
    version: int
    # Whether the row exists.
    active: bool
    # Time since the first node learned of the evacuation, or since it ended.
    age_s: float = 0.0
    # Era of the store, within which versions grow; None if it is not stated.
    era: int | None = None


@dataclass(frozen=True, slots=True)
class EvacuationRows:
    """Rows of evacuations that the store returned, by zone."""

    updates: Mapping[str, EvacuationUpdate]
    # Version of the store that the rows reach.
    version: int
    # Whether these are all rows, so that other zones are not evacuated.
    complete: bool
    # Whether the store went back to an earlier copy a moment ago, so that rows which
    # are missing may be written again.
    restoring: bool = False
    # Era of the store, within which versions grow; None if it is not stated.
    era: int | None = None


@dataclass(slots=True)
class _Evacuation:
    """What is known of one zone."""

    version: _RowVersion
    active: bool
    # When the first node learned of an active evacuation, as far as this node knows.
    learned_s: float
    # When the shift of this node's load began; earlier if it was cut off at once.
    since_s: float
    # When the evacuation ended on this node's clock.
    ended_s: float | None = None
    # Until when peers are informed that it ended.
    announced_until_s: float = 0.0


@dataclass(slots=True)
class Evacuations:
    """Evacuations by zone; the newest version of a row counts.

    Without a limit zones are not evacuated.
    """

    # Time after which an evacuated zone must get no requests; 0 if not used.
    limit_s: float = 0.0
    # Zones of the deployment.
    zones: tuple[str, ...] = ()
    # Zones that rows name but the deployment does not have.
    unknown_zones: set[str] = field(default_factory=set)
    _evacuations: dict[str, _Evacuation] = field(default_factory=dict)
    # Whether the store or a peer stated which zones are evacuated.
    _informed: bool = False
    # Version of the last complete read.
    _read_version: _RowVersion = _NOT_READ
    # First era that this node knew. Updates that state none are of nodes of an earlier
    # build, which know of no later one.
    _first_era: int | None = None

    @property
    def is_known(self) -> bool:
        """Return whether it is known which zones are evacuated."""
        return self._informed or not self.limit_s

    def apply_rows(self, rows: EvacuationRows, now_s: float, *, recent: bool) -> bool:
        """Apply rows of the store; return whether anything changed.

        `recent` tells whether the rows were written a moment ago. If not, for example
        after a start, the time of the shift may have passed, so the zone is cut off at
        once.
        """
        if not self.limit_s:
            return False
        since_s = now_s if recent else now_s - self.limit_s
        self._learn_era(rows.era)
        known = self._known_zones(rows.updates)
        changed = [
            self._apply(zone, rows.updates[zone], since_s, now_s) for zone in known
        ]
        if rows.complete:
            if not rows.restoring:
                changed += self._end_missing(rows, now_s)
            self._read_version = max(
                self._read_version, self._version(rows.era, rows.version)
            )
            self._informed = True
        return any(changed)

    def apply_peer(self, updates: Mapping[str, EvacuationUpdate], now_s: float) -> bool:
        """Apply the updates of a peer; return whether anything changed."""
        if not self.limit_s:
            return False
        self._informed = True
        changed = False
        for zone in self._known_zones(updates):
            item = updates[zone]
            self._learn_era(item.era)
            if item.active and self._is_outdated(zone, item):
                self._announce_end(zone, now_s)
            elif self._apply(zone, item, now_s - item.age_s, now_s):
                changed = True
        return changed

    def updates(self, now_s: float) -> dict[str, EvacuationUpdate]:
        """Return the updates for peers: active evacuations and those that ended lately.

        The age lets a node that learns of an evacuation late shift its load in the time
        that is left, and one that learns late of its end know when it was.
        """
        return {
            zone: EvacuationUpdate(
                item.version.number,
                item.active,
                self._age_s(item, now_s),
                item.version.era or None,
            )
            for zone, item in self._evacuations.items()
            if item.active or now_s < item.announced_until_s
        }

    def active_zones(self) -> list[str]:
        """Return the zones that are evacuated, also while their load is shifted."""
        return [zone for zone, item in self._evacuations.items() if item.active]

    def is_active(self, zone: str) -> bool:
        """Return whether a zone is evacuated, also while its load is shifted."""
        item = self._evacuations.get(zone)
        return item is not None and item.active

    def share(self, zone: str, now_s: float) -> float:
        """Return the share of a zone's usual traffic that may still be sent there."""
        if not self.is_known:
            return 0.0
        item = self._evacuations.get(zone)
        if item is None or not item.active:
            return 1.0
        elapsed_s = max(0.0, now_s - item.since_s)
        return max(0.0, 1.0 - elapsed_s / (self.limit_s * SHIFT_SHARE))

    def may_send(self, zone: str, now_s: float) -> bool:
        """Return whether any request may be sent to a zone."""
        return self.share(zone, now_s) > 0

    def all_cut_off(self, now_s: float) -> bool:
        """Return whether all zones of the deployment are evacuated and get nothing."""
        return bool(self._evacuations) and all(
            self.is_active(zone) and not self.may_send(zone, now_s)
            for zone in self.zones
        )

    def cut_off(self, now_s: float) -> None:
        """End all shifts now, as the clock may not have counted a pause."""
        for item in self._evacuations.values():
            item.since_s = min(item.since_s, now_s - self.limit_s)

    def restored_s(self, zone: str) -> float | None:
        """Return when the zone's evacuation ended on this node's clock, or None."""
        item = self._evacuations.get(zone)
        return item.ended_s if item is not None and not item.active else None

    def _end_missing(self, rows: EvacuationRows, now_s: float) -> list[bool]:
        """End the evacuations that a complete read does not hold."""
        missing = EvacuationUpdate(rows.version, active=False, era=rows.era)
        ended = [zone for zone in self.active_zones() if zone not in rows.updates]
        return [self._apply(zone, missing, now_s, now_s) for zone in ended]

    def _learn_era(self, era: int | None) -> None:
        if self._first_era is None:
            self._first_era = era

    def _version(self, era: int | None, number: int) -> _RowVersion:
        return _RowVersion(era or self._first_era or 0, number)

    def _known_zones(self, zones: Iterable[str]) -> list[str]:
        self.unknown_zones.update(zone for zone in zones if zone not in self.zones)
        return [zone for zone in zones if zone in self.zones]

    def _is_outdated(self, zone: str, update: EvacuationUpdate) -> bool:
        """Return whether a zone is known to be restored after an update."""
        version = self._version(update.era, update.version)
        item = self._evacuations.get(zone)
        if item is None:
            return version <= self._read_version
        return not item.active and version < item.version

    def _announce_end(self, zone: str, now_s: float) -> None:
        """Tell peers for a time that an evacuation ended, as one of them missed it."""
        item = self._evacuations.get(zone)
        if item is None:
            item = _Evacuation(self._read_version, False, now_s, now_s)
            self._evacuations[zone] = item
        item.announced_until_s = now_s + END_ANNOUNCED_S

    def _apply(
        self, zone: str, update: EvacuationUpdate, since_s: float, now_s: float
    ) -> bool:
        item = self._evacuations.get(zone)
        learned_s = now_s - update.age_s
        version = self._version(update.era, update.version)
        if item is not None and version <= item.version:
            if version == item.version and item.active:
                item.learned_s = min(item.learned_s, learned_s)
                item.since_s = min(item.since_s, since_s)
            return False
        if not update.active:
            self._evacuations[zone] = _Evacuation(
                version,
                active=False,
                learned_s=learned_s,
                since_s=since_s,
                ended_s=learned_s,
                announced_until_s=now_s + END_ANNOUNCED_S,
            )
            return True
        if item is not None and item.active:
            # The row was written again, or was removed for a moment only. This node
            # sent nothing meanwhile, so the load is not shifted a second time.
            since_s = min(since_s, item.since_s)
        self._evacuations[zone] = _Evacuation(version, True, learned_s, since_s)
        return True

    def _age_s(self, item: _Evacuation, now_s: float) -> float:
        """Return the age for peers, up to the limit if it is active."""
        if not item.active:
            return 0.0 if item.ended_s is None else max(0.0, now_s - item.ended_s)
        return min(max(0.0, now_s - item.learned_s), self.limit_s)
