"""Maintains links to the control processes of all known nodes."""

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
    NODE_EXPIRY_S,
    PEER_DIAL_DELAY_S,
)
from .models import Node


@dataclass(slots=True)
class _Candidate:
    """A node to dial; it never expires when it is `configured` in the settings."""

    addresses: set[str]
    configured: bool
    last_seen_s: float


class PeerDialler:
    """Dial the nodes of the settings and those that peers report."""

    def __init__(self, ctx: ProgramContext, hub: LinkHub) -> None:
        """Create a dialler with the nodes of the settings."""
        self._ctx = ctx
        self._hub = hub
        self._candidates: dict[str, _Candidate] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        for peer in ctx.settings.peers:
            if peer.node != ctx.settings.node:
                candidate = _Candidate({peer.control_address}, True, now_s())
                self._candidates[peer.node] = candidate

    def async_add_node(self, node: Node) -> None:
        """Add a live node that is linked or was reported by a peer."""
        if node.node == self._ctx.settings.node:
            return
        candidate = self._candidates.get(node.node)
        if candidate is None:
            candidate = _Candidate(set(), False, now_s())
            self._candidates[node.node] = candidate
        candidate.addresses.add(node.address)
        candidate.last_seen_s = now_s()
        self.async_check()

    def async_check(self) -> None:
        """Dial every candidate that has no link and remove expired ones."""
        if self._ctx.stopping.is_set():
            return
        for name, candidate in list(self._candidates.items()):
            if self._hub.peer_link(name) is not None:
                candidate.last_seen_s = now_s()
                continue
            unseen_s = now_s() - candidate.last_seen_s
            if not candidate.configured and unseen_s > NODE_EXPIRY_S:
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
            await asyncio.sleep(PEER_DIAL_DELAY_S)
        failures = 0
        while self._hub.peer_link(name) is None and name in self._candidates:
            address = random.choice(sorted(candidate.addresses))
            if await self._async_run_link(address):
                return
            failures += 1
            await asyncio.sleep(reconnect_delay_s(failures))

    async def _async_run_link(self, address: str) -> bool:
        """Open a link and run it until it closes; return whether it opened."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                link = await async_open(address, self._hub.identity, self._hub.handlers)
        except (LinkError, TimeoutError) as exc:
            log_connect_failure(address, exc)
            return False
        await link.async_run()
        return True
