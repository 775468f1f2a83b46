"""Start, run and shutdown of the node program."""

import asyncio
import logging
import secrets
import signal
from collections.abc import Callable
from contextlib import AsyncExitStack
from functools import partial

from ..core.listening import async_stop_listening
from ..core.timer import TimerService
from ..fleet.const import OWNERSHIP_PERIOD_S, TICK_PERIOD_S
from ..fleet.models import Limits
from ..gateway.app import async_handle_request
from ..gateway.const import INTAKE_CHECK_PERIOD_S, STALL_CHECK_PERIOD_S
from ..gateway.refusals import stopping_response
from ..gateway.relaying import async_relay_request, relay_limits
from ..gateway.stopping import StopOutcome, StopSchedule
from ..gossip.const import GOSSIP_PERIOD_S
from ..gossip.service import GossipService
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from ..transport.address import Address
from .directory import PlatformAdapter
from .explain import create_explain_handler
from .listeners import (
    Listener,
    async_listen,
    create_metrics_handler,
    create_readiness_handler,
)
from .node import Node
from .settings import NodeSettings

_LOGGER = logging.getLogger(__name__)

# The load balancer removes a node after two failed readiness checks, one second apart.
LOAD_BALANCER_DELAY_S = 2.3
# Time before SIGKILL at which responses that have begun are cut and the process ends.
SHUTDOWN_MARGIN_S = 0.1
# Time before SIGKILL at which all other requests are answered, so that the answers
# reach their callers.
ANSWER_MARGIN_S = 0.6
SHUTDOWN_POLL_S = 0.05
# Part of the connections to callers up to which peers may have requests passed on.
RELAYED_CONNECTION_PARTS = 4
POOL_CLEANUP_PERIOD_S = 0.5


async def async_run(
    settings: NodeSettings,
    reload_settings: Callable[[], NodeSettings],
    adapter: PlatformAdapter,
    *,
    reload_requested: Callable[[], bool] = lambda: False,
) -> None:
    """Run the node until SIGTERM or SIGINT; SIGHUP reloads the settings.

    `reload_requested` returns whether SIGHUP came before this function was called.
    """
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    node = Node(settings, adapter, incarnation=secrets.randbits(32))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, partial(_reload, node, reload_settings))
    if reload_requested():
        _reload(node, reload_settings)
    async with AsyncExitStack() as stack:
        timer = TimerService()
        node.tasks.create(timer.async_run())
        stack.push_async_callback(node.tasks.async_cancel)
        stack.callback(node.gateway.pool.close)
        if node.gateway.relays is not None:
            stack.callback(node.gateway.relays.pool.close)
        callers = await async_listen(
            stack,
            settings.callers,
            lambda conn, req: async_handle_request(node.gateway, conn, req),
            limits=lambda: node.configuration.limits,
            intake=node.intake,
            max_connections=node.max_connections,
        )
        readiness = create_readiness_handler(
            lambda: node.ready and not stopping.is_set()
        )
        await async_listen(
            stack, settings.readiness, readiness, limits=Limits, intake=node.intake
        )
        metrics = create_explain_handler(
            node.gateway, create_metrics_handler(node.gateway.metrics.registry)
        )
        await async_listen(
            stack, settings.metrics, metrics, limits=Limits, intake=node.intake
        )
        await _async_start_gossip(stack, node, settings)
        await async_listen(
            stack,
            Address(settings.host, settings.internal_port),
            lambda conn, req: async_relay_request(node.gateway, conn, req),
            limits=lambda: relay_limits(node.configuration.limits),
            intake=node.intake,
            max_connections=node.max_connections // RELAYED_CONNECTION_PARTS,
        )
        node.start()
        timer.async_subscribe(TICK_PERIOD_S, node.tick)
        timer.async_subscribe(STALL_CHECK_PERIOD_S, node.check_stalls)
        timer.async_subscribe(GOSSIP_PERIOD_S, node.gossip.send, jitter=0.1)
        timer.async_subscribe(OWNERSHIP_PERIOD_S, node.owner.contend, jitter=0.2)
        timer.async_subscribe(POOL_CLEANUP_PERIOD_S, node.clean_up)
        timer.async_subscribe(
            INTAKE_CHECK_PERIOD_S, partial(_check_intake, node, callers)
        )
        log_event(_LOGGER, LogEvent.PROGRAM_STARTED, "node started")
        await stopping.wait()
        log_event(_LOGGER, LogEvent.PROGRAM_STOPPING, "node stopping")
        await _async_drain(node, callers, settings)
    log_event(_LOGGER, LogEvent.PROGRAM_STOPPED, "node stopped")


async def _async_start_gossip(
    stack: AsyncExitStack, node: Node, settings: NodeSettings
) -> None:
    loop = asyncio.get_running_loop()
    address = Address(settings.host, settings.internal_port)
    node.gossip = GossipService(node.peers, node.create_messages, node.receive_gossip)
    transport, _ = await loop.create_datagram_endpoint(
        lambda: node.gossip, local_addr=(address.host, address.port)
    )
    stack.callback(transport.close)


async def _async_drain(node: Node, callers: Listener, settings: NodeSettings) -> None:
    """Serve until the load balancer removed the node and all callers are answered."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    killed_s = started_s + settings.stop_grace_s
    schedule = StopSchedule(
        balanced_s=started_s + LOAD_BALANCER_DELAY_S,
        ends_s=killed_s - ANSWER_MARGIN_S,
        closes_s=killed_s - SHUTDOWN_MARGIN_S,
    )
    node.gateway.begin_stop(schedule)
    _log_drain(LogEvent.DRAIN_STARTED, "planned stop began", node, callers)
    await asyncio.sleep(LOAD_BALANCER_DELAY_S)
    await async_stop_listening(callers.server)
    _log_drain(LogEvent.LISTENER_CLOSED, "listener is closed", node, callers)
    await _async_end_connections(node, callers, schedule)
    _log_drain(LogEvent.DRAIN_ENDED, "planned stop ended", node, callers)


async def _async_end_connections(
    node: Node, callers: Listener, schedule: StopSchedule
) -> None:
    """Close connections as they become idle; return at the end of the stop."""
    loop = asyncio.get_running_loop()
    while loop.time() < schedule.closes_s:
        callers.close_idle()
        if loop.time() >= schedule.ends_s:
            callers.refuse_incomplete(stopping_response(node.gateway.rng))
        if not callers.connections:
            return
        await asyncio.sleep(SHUTDOWN_POLL_S)


def _log_drain(event: LogEvent, message: str, node: Node, callers: Listener) -> None:
    stopping = node.gateway.stopping
    log_event(
        _LOGGER,
        event,
        message,
        connections=len(callers.connections),
        in_progress=stopping.in_progress,
        cut=stopping.outcomes[StopOutcome.CUT],
        unanswered=stopping.outcomes[StopOutcome.UNANSWERED],
        refused=stopping.outcomes[StopOutcome.REFUSED],
    )


def _check_intake(node: Node, callers: Listener) -> None:
    callers.give_up_unread(node.intake, node.configuration.limits.idle_timeout_s)
    node.intake.report()


def _reload(node: Node, reload_settings: Callable[[], NodeSettings]) -> None:
    try:
        node.settings = reload_settings()
    except Exception as exc:  # noqa: BLE001
        # Invalid settings must not stop a node that serves.
        log_event(_LOGGER, LogEvent.SETTINGS_REFUSED, str(exc), level=logging.ERROR)
        return
    log_event(_LOGGER, LogEvent.SETTINGS_RELOADED, "settings reloaded")
