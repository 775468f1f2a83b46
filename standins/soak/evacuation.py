"""Evacuation of zones by the operator, and the check that they are used again."""

import asyncio
import itertools

from .const import COLD_START_S, MODEL_SERVICE, PLAIN_SERVICE, RECOVERY_LIMIT_S
from .environment import Environment
from .records import Promise

POLL_S = 0.1


def write_evacuation(env: Environment, zone: str) -> None:
    """Write the operator's row; it may be there already."""
    env.store.put("op", f"evacuate/{zone}", b"{}")
    env.records.evacuated_s.setdefault(zone, env.records.now_s())


def remove_evacuation(env: Environment, zone: str) -> None:
    """Remove the operator's row; the servers of the zone have become cold."""
    for server in env.servers.values():
        if server.zone == zone:
            server.cold_until_s = env.records.now_s() + COLD_START_S
    env.records.evacuated_s.pop(zone, None)
    env.records.used = {used for used in env.records.used if used[0] != zone}
    env.store.put("op", f"evacuate/{zone}", None)


async def async_check_used(
    env: Environment, zones: list[str], limit_s: float = RECOVERY_LIMIT_S
) -> None:
    """Wait until requests reach the zones' servers, or a zone is evacuated again."""
    unused = set(itertools.product(zones, (MODEL_SERVICE, PLAIN_SERVICE)))
    deadline_s = env.records.now_s() + limit_s
    while unused := {
        item
        for item in unused - env.records.used
        if item[0] not in env.records.evacuated_s
    }:
        if env.records.now_s() > deadline_s:
            text = f"no requests {limit_s} s after the removal: {sorted(unused)}"
            env.records.record_violation(Promise.ZONE_RESTORED, text)
            return
        await asyncio.sleep(POLL_S)
