"""Finds out whether this node reaches the servers, and acts on what it finds."""

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from ..core.tasks import CreateTask
from ..fleet.models import BackendServer
from ..gateway.const import GROUP_STALL_TIMEOUT_S
from ..gateway.reach import Reach
from ..gateway.relays import Relay
from ..gateway.state import GatewayState
from ..gossip.models import Peer
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

# Servers to which a connection is tried, and the time between two such trials.
PROBED_SERVERS: Final = 3
PROBE_PERIOD_S: Final = 0.5


@dataclass(slots=True)
class ReachWatcher:
    """Tries connections while it is in doubt whether this node reaches the servers."""

    gateway: GatewayState
    create_task: CreateTask
    _seen: Reach = Reach.DIRECT
    _probed_s: float = float("-inf")

    def check(self) -> None:
        """Act on a change, and try connections if it is time."""
        now_s = asyncio.get_running_loop().time()
        state = self.gateway.reach.state
        if state is not self._seen:
            self._handle_change(state)
        is_doubtful = state is not Reach.DIRECT or self.gateway.backends.is_silent(
            now_s
        )
        if is_doubtful and now_s - self._probed_s >= PROBE_PERIOD_S:
            self._probed_s = now_s
            self.create_task(self._async_probe())

    def _handle_change(self, state: Reach) -> None:
        log_event(
            _LOGGER,
            LogEvent.REACH_CHANGED,
            "way to the servers changed",
            state=state,
            previous=self._seen,
        )
        self._seen = state
        is_partitioned = state is Reach.PARTITIONED
        self.gateway.metrics.partitioned.set({}, int(is_partitioned))
        if is_partitioned:
            # The servers seemed to fail because this node did not reach them.
            self.gateway.backends.forget_suspicions()
            self.gateway.zone_failures.clear()
            self.create_task(self._async_move_silent())
        self.gateway.waiting.wake()

    async def _async_probe(self) -> None:
        """Try to connect to a few servers, of different zones if possible."""
        servers = list(self.gateway.servers().values())
        self.gateway.rng.shuffle(servers)
        await asyncio.gather(*map(self._async_try, _choose(servers)))

    async def _async_try(self, server: BackendServer) -> None:
        if await self.gateway.pool.async_try_connect(server.address):
            return
        now_s = asyncio.get_running_loop().time()
        self.gateway.reach.record_unconnected(server.server_id, now_s)

    async def _async_move_silent(self) -> None:
        """Let the streams go on elsewhere whose connections fell silent.

        Other nodes still see progress of their groups, so these are not stalled.
        """
        received = [
            (exchange, exchange.received_count)
            for exchange in self.gateway.backends.exchanges()
        ]
        await asyncio.sleep(GROUP_STALL_TIMEOUT_S)
        for exchange, count in received:
            if exchange.is_incomplete and exchange.received_count == count:
                exchange.report_silence()


def list_relays(peers: Iterable[Peer]) -> list[Relay]:
    """Return the peers as relays; they listen on the port of their datagrams."""
    return [Relay(peer.name, peer.zone, peer.address) for peer in peers]


def _choose(servers: Iterable[BackendServer]) -> list[BackendServer]:
    chosen: dict[str, BackendServer] = {}
    others = []
    for server in servers:
        if server.zone in chosen:
            others.append(server)
        else:
            chosen[server.zone] = server
    return [*chosen.values(), *others][:PROBED_SERVERS]
