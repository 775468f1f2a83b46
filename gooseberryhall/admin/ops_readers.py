"""Reads from the ops ports of the other programs on this entry VM."""

import asyncio
import json
from collections.abc import Sequence
from typing import Any

import aiohttp

from ..settings.models import NodeSettings
from .services import PlannerReader, TimelineReader

READ_TIMEOUT_S = 2.0
# A full time line of 10,000 events has 10 pages.
MAX_PAGES = 10


def create_timeline_reader(
    session: aiohttp.ClientSession, settings: NodeSettings
) -> TimelineReader:
    """Return a function that finds the time line events that mention a text."""
    sections = (settings.entry, settings.control)
    urls = [f"http://{item.host}:{item.ops_port}/timeline" for item in sections]

    async def async_read(text: str) -> list[dict[str, Any]]:
        timelines = await asyncio.gather(*(_async_read(session, url) for url in urls))
        events = [event for timeline in timelines for event in timeline]
        return [event for event in events if text in json.dumps(event["fields"])]

    return async_read


def create_planner_reader(
    session: aiohttp.ClientSession, settings: NodeSettings
) -> PlannerReader:
    """Return a function that reads the control program's view of the groups."""
    section = settings.control
    url = f"http://{section.host}:{section.ops_port}/status"
    timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)

    async def async_read() -> dict[str, Any]:
        try:
            async with session.get(url, timeout=timeout) as response:
                status = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return {}
        found: dict[str, Any] = status.get("groups", {})
        return found

    return async_read


async def _async_read(
    session: aiohttp.ClientSession, url: str
) -> Sequence[dict[str, Any]]:
    """Return the events of a time line, up to the first page that cannot be read."""
    events: list[dict[str, Any]] = []
    timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
    after = 0
    for _ in range(MAX_PAGES):
        try:
            params = {"after": str(after)}
            async with session.get(url, params=params, timeout=timeout) as response:
                page = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            break
        events += page["entries"]
        if not page["more"]:
            break
        after = events[-1]["seq"]
    return events
