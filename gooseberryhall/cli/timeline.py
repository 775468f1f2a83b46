"""Merges the time lines of several processes.

The wall clocks of VMs differ. `/timeline` returns the clock reading of its process, and
the clock offset is that reading minus the local time at the midpoint between request
and response. The sample with the shortest round trip is used; half of its round trip
bounds the error. Events of one process always keep their order.
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
# The ring buffer of a process holds 10,000 events, and a page has up to 1,000.
MAX_PAGES = 16


@dataclass(frozen=True, slots=True)
class ClockSample:
    """Reading of a remote clock between two readings of the local one, in seconds."""

    sent_s: float
    received_s: float
    remote_s: float

    @property
    def offset_s(self) -> float:
        """Return the estimated time by which the remote clock is ahead."""
        return self.remote_s - (self.sent_s + self.received_s) / 2

    @property
    def uncertainty_s(self) -> float:
        """Return the maximum error of the offset."""
        return (self.received_s - self.sent_s) / 2


@dataclass(frozen=True, slots=True)
class ProcessTimeline:
    """Events of one process, as `/timeline` returns them, and its clock offset."""

    source: str
    offset_s: float
    uncertainty_s: float
    events: tuple[dict[str, Any], ...]


@dataclass(frozen=True, slots=True)
class MergedEvent:
    """Event of a process with its time on the local clock."""

    time_s: float
    source: str
    seq: int
    kind: str
    fields: dict[str, Any]
    uncertainty_s: float


async def async_read_timelines(
    session: aiohttp.ClientSession, urls: Sequence[str]
) -> tuple[list[ProcessTimeline], list[str]]:
    """Return the time lines of responsive processes and the URLs of the others."""
    results = await asyncio.gather(
        *(async_read_timeline(session, url) for url in urls), return_exceptions=True
    )
    timelines: list[ProcessTimeline] = []
    unresponsive: list[str] = []
    for url, result in zip(urls, results, strict=True):
        if isinstance(result, ProcessTimeline):
            timelines.append(result)
        elif isinstance(result, UnreachableError):
            unresponsive.append(url)
        else:
            raise result
    return timelines, unresponsive


async def async_read_timeline(
    session: aiohttp.ClientSession, url: str
) -> ProcessTimeline:
    """Read all events of one process. Raises UnreachableError."""
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


def merge_timelines(timelines: Iterable[ProcessTimeline]) -> list[MergedEvent]:
    """Return all events sorted by their time on the local clock."""
    return list(
        heapq.merge(
            *map(_convert_to_local_clock, timelines), key=lambda event: event.time_s
        )
    )


def filter_events(
    events: Iterable[MergedEvent], names: Iterable[str]
) -> list[MergedEvent]:
    """Return the events whose fields contain all names as values."""
    required = set(names)
    return [event for event in events if required <= set(_iter_strings(event.fields))]


def _convert_to_local_clock(timeline: ProcessTimeline) -> list[MergedEvent]:
    """Return the events of a process with times on the local clock that never decrease.

    Otherwise, a wall clock that was set back would reorder the events of its process.
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


def _iter_strings(value: Any) -> Iterable[str]:
    if isinstance(value, str):
        yield value
    elif isinstance(value, dict):
        for item in value.values():
            yield from _iter_strings(item)
    elif isinstance(value, list):
        for item in value:
            yield from _iter_strings(item)


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
