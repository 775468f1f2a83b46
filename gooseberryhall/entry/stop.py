"""Planned stop of the entry program."""

import asyncio
import contextlib
import logging

from ..requests.events import DrainLimitReached
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import STOP_GRACE_S
from .front import Front

_LOGGER = logging.getLogger(__name__)


def async_setup_stop(front: Front) -> None:
    """Finish the requests in flight when the program stops."""
    front.ctx.async_create_task(_async_watch(front), "stop")
    front.ctx.stack.push_async_callback(async_drain, front)


async def _async_watch(front: Front) -> None:
    await front.ctx.stopping.wait()
    front.stopping = True


async def async_drain(front: Front) -> None:
    """Notify the load balancer, refuse new requests and wait for the others."""
    settings = front.ctx.settings.entry
    front.stopping = True
    log_event(
        _LOGGER, LogEvent.DRAIN_STARTED, "drain started", in_flight=front.in_flight
    )
    await asyncio.sleep(settings.balancer_notice_s)
    front.accepting = False
    await _async_wait_idle(front, settings.drain_limit_s)
    if front.in_flight:
        front.ctx.runtime.async_dispatch(DrainLimitReached())
        await _async_wait_idle(front, STOP_GRACE_S)
    log_event(_LOGGER, LogEvent.DRAIN_ENDED, "drain ended", in_flight=front.in_flight)


async def _async_wait_idle(front: Front, limit_s: float) -> None:
    if front.in_flight:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(front.idle.wait(), limit_s)
