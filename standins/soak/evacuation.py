"""Evacuation of zones by the operator, and the check that they get requests again."""

import asyncio
import itertools

from .const import COLD_START_S, MODEL_SERVICE, PLAIN_SERVICE, RECOVERY_LIMIT_S
from .environment import Environment
from .records import Promise

POLL_S = 0.1


def set_evacuated(env: Environment, zone: str, *, active: bool) -> None:
    """Write or remove the operator's row; removal leaves the zone's servers cold."""
    env.store.put("op", f"evacuate/{zone}", b"{}" if active else None)
    now_s = env.records.now_s()
    if active:
        env.records.evacuated_s.setdefault(zone, now_s)
        return
    env.records.evacuated_s.pop(zone, None)
    env.records.used = {used for used in env.records.used if used[0] != zone}
    for server in env.servers.values():
        if server.zone == zone:
            server.cold_until_s = now_s + COLD_START_S


async def async_check_used(
    env: Environment, zones: tuple[str, ...], limit_s: float = RECOVERY_LIMIT_S
) -> None:
    """Wait until requests reach the zones' servers, or a zone is evacuated again."""
    expected = set(itertools.product(zones, (MODEL_SERVICE, PLAIN_SERVICE)))
    deadline_s = env.records.now_s() + limit_s
    while not env.records.evacuated_s.keys() & set(zones) and (
        unused := expected - env.records.used
    ):
        if env.records.now_s() > deadline_s:
            env.records.record_violation(Promise.ZONE_RESTORED, f"{unused}")
            return
        await asyncio.sleep(POLL_S)
