"""Holds back orders after a pause of this process."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..core.clock import now_s as boot_time_s
from .const import HOLD_AFTER_PAUSE_S, PAUSE_LIMIT_S
from .models import BackendServer, Group
from .orders import EngineClient, OrderOutcome, Report


@dataclass(frozen=True, slots=True)
class GuardedEngines:
    """Engine client of an owner that was perhaps replaced while it was paused.

    A task that waits for a server goes on before the next tick of the owner, so it
    would send an order beside those of the new owner. Not all servers check fencing
    tokens. Orders wait until the datagrams of the peers have been read; if they tell of
    a later term, the tasks of this owner are cancelled meanwhile. Reports are not held
    back.
    """

    engines: EngineClient
    # Time of the last tick on the clock that includes suspended time; 0 if none was.
    last_tick_s: Callable[[], float]
    # Returns whether a server asked this node to send nothing.
    is_paused: Callable[[BackendServer], bool] = lambda _: False
    # Returns whether the zone is evacuated; its servers are then sent no work.
    is_evacuated: Callable[[], bool] = lambda: False

    async def async_join(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        """Order a server to join a group."""
        await self._async_hold()
        if self.is_paused(server) or self.is_evacuated():
            return OrderOutcome.REFUSED
        return await self.engines.async_join(server, group, fencing_token)

    async def async_open(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        """Order the leader of a ready group to serve."""
        await self._async_hold()
        if self.is_paused(server) or self.is_evacuated():
            return OrderOutcome.REFUSED
        return await self.engines.async_open(server, group, fencing_token)

    async def async_leave(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        """Order a server to leave a group immediately."""
        await self._async_hold()
        if self.is_paused(server):
            return OrderOutcome.REFUSED
        return await self.engines.async_leave(server, group, fencing_token)

    async def async_stage(
        self, server: BackendServer, model: str, fencing_token: int
    ) -> OrderOutcome:
        """Order a server to load the weights of a model onto its host."""
        await self._async_hold()
        if self.is_paused(server) or self.is_evacuated():
            return OrderOutcome.REFUSED
        return await self.engines.async_stage(server, model, fencing_token)

    async def async_fetch_report(self, server: BackendServer) -> Report | None:
        """Return the state that a server reports, or None if it does not answer."""
        if self.is_paused(server):
            return None
        return await self.engines.async_fetch_report(server)

    async def _async_hold(self) -> None:
        last_tick_s = self.last_tick_s()
        if last_tick_s and boot_time_s() - last_tick_s > PAUSE_LIMIT_S:
            await asyncio.sleep(HOLD_AFTER_PAUSE_S)
