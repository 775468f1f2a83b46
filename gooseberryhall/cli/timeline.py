"""Merges the time lines of several processes.

Wall clocks of VMs differ. `/timeline` returns the clock reading of its process; the
offset is that reading minus the local time halfway between request and response. The
sample with the shortest round trip is used, and half of that round trip bounds the
error. Events of one process always keep their own order.
"""

import asyncio
import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp

from ..core.clock import wall_time_s
from .const import CLOCK_SAMPLES, TIMELINE_TIMEOUT_S
from .exceptions import UnreachableError

_TIMEOUT = aiohttp.ClientTimeout(total=TIMELINE_TIMEOUT_S)
# The ring buffer of a process has 10,000 events, 1,000 on each page.
MAX_PAGES = 16


@dataclass(frozen=True, slots=True)
class ClockSample:
    """One comparison of a remote clock with the local one, in seconds."""

    sent_s: float
    received_s: float
    remote_s: float

    @property
    def offset_s(self) -> float:
        """Return how far the remote clock is ahead."""
        return self.remote_s - (self.sent_s + self.received_s) / 2

    @property
    def uncertainty_s(self) -> float:
        """Return the largest possible error of the offset."""
        return (self.received_s - self.sent_s) / 2


@dataclass(frozen=True, slots=True)
class ProcessTimeline:
    """The entries of one process and its clock offset."""

    source: str
    offset_s: float
    uncertainty_s: float
    events: tuple[dict[str, Any], ...]


@dataclass(frozen=True, slots=True)
class MergedEvent:
    """An event with its time on the local clock."""

    time_s: float
    source: str
    seq: int
    kind: str
    fields: dict[str, Any]
    uncertainty_s: float


async def async_read_all(
    session: aiohttp.ClientSession, urls: Sequence[str]
) -> tuple[list[ProcessTimeline], list[str]]:
    """Return the time lines of the processes that answer, and the other URLs."""
    found = await asyncio.gather(
        *(async_read_timeline(session, url) for url in urls), return_exceptions=True
    )
    timelines: list[ProcessTimeline] = []
    silent: list[str] = []
    for url, result in zip(urls, found, strict=True):
        if isinstance(result, ProcessTimeline):
            timelines.append(result)
        elif isinstance(result, UnreachableError):
            silent.append(url)
        else:
            raise result
    return timelines, silent


async def async_read_timeline(
    session: aiohttp.ClientSession, url: str
) -> ProcessTimeline:
    """Read all entries of one process. Raises UnreachableError."""
    samples: list[ClockSample] = []
    events: list[dict[str, Any]] = []
    after = 0
    more = True
    while len(samples) < MAX_PAGES and (more or len(samples) < CLOCK_SAMPLES):
        page, sample = await _async_read_page(session, url, after)
        samples.append(sample)
        events += page["entries"]
        more = page["more"]
        after = events[-1]["seq"] if events else 0
    best = min(samples, key=lambda sample: sample.uncertainty_s)
    source = url.removeprefix("http://").removeprefix("https://")
    return ProcessTimeline(source, best.offset_s, best.uncertainty_s, tuple(events))


def merge(timelines: Iterable[ProcessTimeline]) -> list[MergedEvent]:
    """Return all entries in order of their time on the local clock."""
    return list(heapq.merge(*map(_correct, timelines), key=lambda event: event.time_s))


def select(events: Iterable[MergedEvent], names: Iterable[str]) -> list[MergedEvent]:
    """Return the entries that mention all names in their fields."""
    wanted = set(names)
    return [event for event in events if wanted <= set(_texts(event.fields))]


def _correct(timeline: ProcessTimeline) -> list[MergedEvent]:
    """Return entries on the local clock, never earlier than their predecessor.

    A wall clock that was set back would otherwise reorder events of one process.
    """
    corrected: list[MergedEvent] = []
    latest_s = float("-inf")
    for event in sorted(timeline.events, key=lambda item: int(item["seq"])):
        latest_s = max(latest_s, event["time_s"] - timeline.offset_s)
        corrected.append(
            MergedEvent(
                time_s=latest_s,
                source=timeline.source,
                seq=event["seq"],
                kind=event["kind"],
                fields=event["fields"],
                uncertainty_s=timeline.uncertainty_s,
            )
        )
    return corrected


def _texts(value: Any) -> Iterable[str]:
    if isinstance(value, str):
        yield value
    elif isinstance(value, dict):
        for item in value.values():
            yield from _texts(item)
    elif isinstance(value, list):
        for item in value:
            yield from _texts(item)


async def _async_read_page(
    session: aiohttp.ClientSession, url: str, after: int
) -> tuple[dict[str, Any], ClockSample]:
    sent_s = wall_time_s()
    try:
        async with session.get(
            f"{url}/timeline", params={"after": str(after)}, timeout=_TIMEOUT
        ) as response:
            page = await response.json()
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
        raise UnreachableError(
            f"{url}: {str(exc) or type(exc).__name__}",
            field="--ops",
            fix="check the address of the ops port",
        ) from exc
    return page, ClockSample(sent_s, wall_time_s(), page["time_s"])
