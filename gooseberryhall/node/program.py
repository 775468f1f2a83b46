"""Composes the parts of the node program and runs it until SIGTERM."""

import asyncio
import logging
import secrets
import signal
from collections.abc import Callable
from contextlib import AsyncExitStack
from functools import partial

from ..core.listening import async_drain_accept_queue
from ..core.timer import TimerService
from ..fleet.const import OWNERSHIP_PERIOD_S, TICK_PERIOD_S
from ..fleet.models import Limits
from ..gateway.app import async_handle_request
from ..gateway.const import STALL_CHECK_PERIOD_S
from ..gossip.const import GOSSIP_PERIOD_S
from ..gossip.service import GossipService
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from ..transport.pool import Address
from .directory import PlatformParts
from .listeners import Listener, answer_metrics, answer_readiness, async_listen
from .node import Node
from .settings import NodeSettings

_LOGGER = logging.getLogger(__name__)

# The load balancer takes a node out after two questions a second apart.
NEW_CALLERS_S = 2.3
# Left before SIGKILL for closing connections.
STOP_MARGIN_S = 0.4
STOP_POLL_S = 0.05
POOL_CLEANUP_PERIOD_S = 0.5


async def async_run(
    settings: NodeSettings,
    reload_settings: Callable[[], NodeSettings],
    parts: PlatformParts,
) -> None:
    """Run the node until SIGTERM."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    node = Node(settings, parts, incarnation=secrets.randbits(32))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, partial(_reload, node, reload_settings))
    async with AsyncExitStack() as stack:
        timer = TimerService()
        node.tasks.create(timer.async_run())
        stack.push_async_callback(node.tasks.async_cancel)
        stack.callback(node.gateway.pool.close)
        callers = await async_listen(
            stack,
            settings.callers,
            lambda conn, req: async_handle_request(node.gateway, conn, req),
            lambda: node.configuration.limits,
        )
        readiness = answer_readiness(lambda: node.ready and not stopping.is_set())
        await async_listen(stack, settings.readiness, readiness, Limits)
        metrics = answer_metrics(node.gateway.metrics.registry)
        await async_listen(stack, settings.metrics, metrics, Limits)
        await _async_start_gossip(stack, node, settings)
        node.start()
        timer.async_subscribe(TICK_PERIOD_S, node.tick)
        timer.async_subscribe(STALL_CHECK_PERIOD_S, node.check_stalls)
        timer.async_subscribe(GOSSIP_PERIOD_S, node.gossip.send, jitter=0.1)
        timer.async_subscribe(OWNERSHIP_PERIOD_S, node.owner.contend, jitter=0.2)
        timer.async_subscribe(POOL_CLEANUP_PERIOD_S, node.clean_up)
        log_event(_LOGGER, LogEvent.PROGRAM_STARTED, "node started")
        await stopping.wait()
        log_event(_LOGGER, LogEvent.PROGRAM_STOPPING, "node stopping")
        await _async_finish(callers, settings)
    log_event(_LOGGER, LogEvent.PROGRAM_STOPPED, "node stopped")


async def _async_start_gossip(
    stack: AsyncExitStack, node: Node, settings: NodeSettings
) -> None:
    loop = asyncio.get_running_loop()
    address = Address(settings.host, settings.internal_port)
    node.gossip = GossipService(node.peers, node.compose_gossip, node.take_gossip)
    transport, _ = await loop.create_datagram_endpoint(
        lambda: node.gossip, local_addr=(address.host, address.port)
    )
    stack.callback(transport.close)


async def _async_finish(callers: Listener, settings: NodeSettings) -> None:
    """Serve until the load balancer sends no new callers and all have answers."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    limit_s = started_s + settings.stop_grace_s - STOP_MARGIN_S
    await asyncio.sleep(NEW_CALLERS_S)
    await async_drain_accept_queue(callers.server.sockets)
    callers.server.close()
    while loop.time() < limit_s:
        callers.close_idle()
        if not callers.connections:
            return
        await asyncio.sleep(STOP_POLL_S)


def _reload(node: Node, reload_settings: Callable[[], NodeSettings]) -> None:
    try:
        node.settings = reload_settings()
    except Exception as exc:  # noqa: BLE001
        # Settings that cannot be used must not end a node that serves.
        log_event(_LOGGER, LogEvent.SETTINGS_REFUSED, str(exc), level=logging.ERROR)
        return
    log_event(_LOGGER, LogEvent.SETTINGS_RELOADED, "settings are read again")
