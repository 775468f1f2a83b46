"""Polls the cache events of engines."""

import aiohttp

from ..adapters.engine_stream import async_read_cache_events
from ..adapters.exceptions import EngineUnavailableError, MalformedResponseError
from ..core.context import ProgramContext
from ..core.state import State
from ..groups.models import Group, GroupPhase
from .const import CACHE_POLL_JITTER, CACHE_POLL_PERIOD_S
from .events import CacheChange, CacheEventsReceived


def async_setup(ctx: ProgramContext) -> None:
    """Poll the cache events of the groups of this zone."""
    polling: set[str] = set()

    def poll() -> None:
        for group in groups_to_poll(ctx.runtime.state):
            if group.group not in polling:
                polling.add(group.group)
                ctx.async_create_task(async_poll(group), "cache events")

    async def async_poll(group: Group) -> None:
        try:
            await _async_poll(ctx, ctx.session, group)
        finally:
            polling.discard(group.group)

    ctx.timer.async_subscribe(CACHE_POLL_PERIOD_S, poll, jitter=CACHE_POLL_JITTER)


def groups_to_poll(state: State) -> list[Group]:
    """Return the groups whose cache events this node reads.

    Groups of other zones get requests only while no group of this zone is free.
    """
    return [
        group
        for group in state.groups.groups.values()
        if group.phase is GroupPhase.SERVING and group.zone == state.identity.zone
    ]


async def _async_poll(
    ctx: ProgramContext, session: aiohttp.ClientSession, group: Group
) -> None:
    cached = ctx.runtime.state.routing.prefixes.get(group.group)
    after = 0
    if cached is not None and cached.generation == group.generation:
        after = cached.last_event or 0
    try:
        events = await async_read_cache_events(session, group.leader.address, after)
    except (EngineUnavailableError, MalformedResponseError):
        return  # the prefix index then relies on the requests of this node
    changes = tuple(CacheChange(item.seq, item.stored, item.blocks) for item in events)
    if changes:
        ctx.runtime.async_dispatch(
            CacheEventsReceived(group.group, group.generation, changes)
        )
