"""Keeps the configuration of a control process up to date with the table."""

import logging
from collections.abc import Callable

from ..adapters.exceptions import TableUnavailableError
from ..adapters.table import HttpTable, Table
from ..core.context import ProgramContext
from ..core.runtime import Runtime
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import MAX_CHANGES_READ, POLL_JITTER, POLL_PERIOD_S
from .effects import ConfigApplied, RequestConfig
from .events import ConfigChangesReceived, ConfigSnapshotReceived
from .exceptions import ConfigUnreadableError
from .metrics import CONFIG_REVISION
from .store import async_load_changes, async_load_revision, async_load_snapshot

_LOGGER = logging.getLogger(__name__)


async def async_setup(
    ctx: ProgramContext,
    *,
    table: Table | None = None,
    request_from_peer: Callable[[int], None] | None = None,
) -> None:
    """Poll the table for new revisions and fetch missing changes.

    `request_from_peer` is called with the revision in force when changes are missing.
    The component that exchanges configuration over links handles ConfigApplied.
    """
    source = table or HttpTable(ctx.session, ctx.settings.platform.table_address)
    poll = create_poll(ctx, source)

    def request_config(effect: RequestConfig) -> None:
        if request_from_peer is not None:
            request_from_peer(effect.after)
        poll()

    ctx.runtime.register(RequestConfig, request_config)
    ctx.ops.add_status("config", lambda: config_status(ctx.runtime))
    ctx.stack.callback(
        ctx.timer.async_subscribe(POLL_PERIOD_S, poll, jitter=POLL_JITTER)
    )
    poll()


def create_poll(ctx: ProgramContext, table: Table) -> Callable[[], None]:
    """Return a function that starts a poll, or repeats the running one afterwards.

    The running poll may have read the head before the requested revision was written.
    """
    polling = False
    poll_requested = False
    last_poll_succeeded = True

    async def async_poll() -> None:
        nonlocal last_poll_succeeded
        try:
            await async_fetch_missing(ctx.runtime, table)
        except (TableUnavailableError, ConfigUnreadableError) as exc:
            if last_poll_succeeded:
                _log_poll_failure(exc)
            last_poll_succeeded = False
        else:
            last_poll_succeeded = True

    async def async_poll_while_requested() -> None:
        nonlocal polling, poll_requested
        try:
            while poll_requested:
                poll_requested = False
                await async_poll()
        finally:
            polling = False

    def poll() -> None:
        nonlocal polling, poll_requested
        poll_requested = True
        if not polling:
            polling = True
            ctx.async_create_task(async_poll_while_requested(), "config poll")

    return poll


async def async_fetch_missing(runtime: Runtime, table: Table) -> None:
    """Fetch and apply what the table holds after the revision in force."""
    config = runtime.state.config
    missing = await async_load_revision(table) - config.revision
    if missing <= 0:
        return
    if missing <= MAX_CHANGES_READ:
        changes = await async_load_changes(table, config.revision)
        if changes:
            runtime.async_dispatch(ConfigChangesReceived(changes))
            return
    snapshot = await async_load_snapshot(table)
    objects = tuple(snapshot.objects.values())
    runtime.async_dispatch(ConfigSnapshotReceived(snapshot.revision, objects))


def record_applied(ctx: ProgramContext, effect: ConfigApplied) -> None:
    """Record in log, metrics and time line that a revision is in force."""
    CONFIG_REVISION.set({}, effect.revision)
    log_event(
        _LOGGER,
        LogEvent.CONFIG_IN_FORCE,
        "configuration in force",
        revision=effect.revision,
        objects=len(effect.keys),
    )
    ctx.ops.timeline.record(
        "config_in_force", revision=effect.revision, objects=len(effect.keys)
    )


def config_status(runtime: Runtime) -> dict[str, int]:
    """Return the revision in force and the number of objects."""
    config = runtime.state.config
    return {"revision": config.revision, "objects": len(config.objects)}


def _log_poll_failure(exc: Exception) -> None:
    log_event(
        _LOGGER,
        LogEvent.CONFIG_POLL_FAILED,
        "configuration cannot be read; the revision in force is kept",
        level=logging.WARNING,
        error=str(exc),
    )
