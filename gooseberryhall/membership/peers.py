"""Keeps links to the control processes of all known nodes."""

import asyncio
import random
from dataclasses import dataclass

from ..core.clock import now_s
from ..core.context import ProgramContext
from ..links.client import async_open, log_connect_failure, reconnect_delay_s
from ..links.const import CONNECT_TIMEOUT_S
from ..links.exceptions import LinkError
from ..links.hub import LinkHub
from .const import (
    FORGET_NODE_S,
    PEER_DIAL_YIELD_S,
)
from .models import Node


@dataclass(slots=True)
class _Candidate:
    """A node that may be dialled; `kept` when the settings name it."""

    addresses: set[str]
    kept: bool
    mentioned_s: float


class PeerDialler:
    """Dial nodes from the settings and those that peers know."""

    def __init__(self, ctx: ProgramContext, hub: LinkHub) -> None:
        """Start with the nodes from the settings."""
        self._ctx = ctx
        self._hub = hub
        self._candidates: dict[str, _Candidate] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        for peer in ctx.settings.peers:
            if peer.node != ctx.settings.node:
                candidate = _Candidate({peer.control_address}, True, now_s())
                self._candidates[peer.node] = candidate

    def async_learn(self, node: Node) -> None:
        """Note a live node that a peer knows, or that is linked."""
        if node.node == self._ctx.settings.node:
            return
        candidate = self._candidates.get(node.node)
        if candidate is None:
            candidate = _Candidate(set(), False, now_s())
            self._candidates[node.node] = candidate
        candidate.addresses.add(node.address)
        candidate.mentioned_s = now_s()
        self.async_check()

    def async_check(self) -> None:
        """Dial every candidate that has no link; forget those that are gone."""
        if self._ctx.stopping.is_set():
            return
        for name, candidate in list(self._candidates.items()):
            if self._hub.peer_link(name) is not None:
                candidate.mentioned_s = now_s()
                continue
            silent_s = now_s() - candidate.mentioned_s
            if not candidate.kept and silent_s > FORGET_NODE_S:
                del self._candidates[name]
                continue
            self._start(name, candidate)

    def _start(self, name: str, candidate: _Candidate) -> None:
        running = self._tasks.get(name)
        if running is not None and not running.done():
            return
        self._tasks[name] = self._ctx.async_create_task(
            self._async_dial(name, candidate), f"dial {name}"
        )

    async def _async_dial(self, name: str, candidate: _Candidate) -> None:
        if self._ctx.settings.node > name:
            await asyncio.sleep(PEER_DIAL_YIELD_S)
        failures = 0
        while self._hub.peer_link(name) is None and name in self._candidates:
            address = random.choice(sorted(candidate.addresses))
            if await self._async_run_link(address):
                return
            failures += 1
            await asyncio.sleep(reconnect_delay_s(failures))

    async def _async_run_link(self, address: str) -> bool:
        """Run a link until it closes; return whether it opened."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                link = await async_open(address, self._hub.identity, self._hub.handlers)
        except (LinkError, TimeoutError) as exc:
            log_connect_failure(address, exc)
            return False
        await link.async_run()
        return True
