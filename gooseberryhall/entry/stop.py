"""Planned stop of the entry program."""

import asyncio
import contextlib
import logging

from ..requests.events import DrainLimitReached
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import STOP_GRACE_PERIOD_S
from .frontend import Frontend

_LOGGER = logging.getLogger(__name__)


def async_setup_stop(frontend: Frontend) -> None:
    """Drain the requests in flight when the program stops."""
    frontend.ctx.async_create_task(_async_mark_stopping(frontend), "stop")
    frontend.ctx.stack.push_async_callback(async_drain, frontend)


async def _async_mark_stopping(frontend: Frontend) -> None:
    await frontend.ctx.stopping.wait()
    frontend.stopping = True


async def async_drain(frontend: Frontend) -> None:
    """Notify the load balancer, then refuse new requests and finish the others.

    Requests that exceed the drain limit are ended with an error.
    """
    settings = frontend.ctx.settings.entry
    frontend.stopping = True
    log_event(
        _LOGGER, LogEvent.DRAIN_STARTED, "drain started", in_flight=frontend.in_flight
    )
    await asyncio.sleep(settings.balancer_notice_s)
    frontend.accepting = False
    await _async_wait_idle(frontend, settings.drain_limit_s)
    if frontend.in_flight:
        frontend.ctx.runtime.async_dispatch(DrainLimitReached())
        await _async_wait_idle(frontend, STOP_GRACE_PERIOD_S)
    log_event(
        _LOGGER, LogEvent.DRAIN_ENDED, "drain ended", in_flight=frontend.in_flight
    )


async def _async_wait_idle(frontend: Frontend, limit_s: float) -> None:
    if frontend.in_flight:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(frontend.idle.wait(), limit_s)
