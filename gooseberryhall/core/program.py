"""Starts and stops a program."""

import asyncio
import logging
import secrets
import signal
import sys
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp
import click
import uvloop
from aiohttp import web

from ..settings.exceptions import SettingsError
from ..settings.loader import load_settings
from ..settings.models import ListenSettings, NodeSettings
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event, setup_logging
from ..telemetry.ops import OpsState, create_ops_app
from ..telemetry.timeline import Timeline
from .context import Program, ProgramContext
from .runtime import Runtime
from .state import Identity, State
from .timer import TimerService

_LOGGER = logging.getLogger(__name__)

EXIT_SETTINGS_REFUSED = 2
INCARNATION_BYTES = 8
MAX_CONNECTIONS = 2048

Setup = Callable[[ProgramContext], Awaitable[None]]
"""Adds the components of a program to its context.

Components that must finish work before the program exits push an async callback onto
`ctx.stack`, which runs after `ctx.stopping` is set.
"""


def create_main(program: Program, async_setup: Setup) -> click.Command:
    """Return the command that runs a program."""

    @click.command(help=f"Run the {program} program of an entry VM.")
    @click.option(
        "--settings",
        "file",
        required=True,
        type=click.Path(path_type=Path, dir_okay=False),
        help="JSON file with the settings of this entry VM.",
    )
    def main(file: Path) -> None:
        setup_logging(program=program, node="", level="INFO")
        try:
            settings = load_settings(file)
        except SettingsError as exc:
            log_event(_LOGGER, LogEvent.SETTINGS_REFUSED, str(exc), level=logging.ERROR)
            sys.exit(EXIT_SETTINGS_REFUSED)
        setup_logging(program=program, node=settings.node, level=settings.log_level)
        uvloop.run(_async_run(program, settings, async_setup))

    return main


async def _async_run(
    program: Program, settings: NodeSettings, async_setup: Setup
) -> None:
    async with AsyncExitStack() as stack:
        ctx = await _async_create_context(program, settings, stack)
        _register_signal_handlers(ctx)
        ctx.async_create_task(ctx.timer.async_run(), "timer")
        await async_setup(ctx)
        log_event(_LOGGER, LogEvent.PROGRAM_STARTED, "program started")
        await ctx.stopping.wait()
        ctx.ops.ready = False
        log_event(_LOGGER, LogEvent.PROGRAM_STOPPING, "program stopping")
    log_event(_LOGGER, LogEvent.PROGRAM_STOPPED, "program stopped")


async def _async_create_context(
    program: Program, settings: NodeSettings, stack: AsyncExitStack
) -> ProgramContext:
    identity = Identity(settings.node, settings.zone, settings.region)
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
    session = await stack.enter_async_context(
        aiohttp.ClientSession(connector=connector, auto_decompress=False)
    )
    ctx = ProgramContext(
        program=program,
        settings=settings,
        runtime=Runtime(State(identity)),
        timer=TimerService(),
        session=session,
        stack=stack,
        ops=OpsState(Timeline()),
        incarnation=secrets.token_hex(INCARNATION_BYTES),
    )
    stack.push_async_callback(ctx.async_cancel_tasks)
    await _async_start_ops(ctx)
    return ctx


def _get_listen_settings(ctx: ProgramContext) -> ListenSettings:
    section: ListenSettings = getattr(ctx.settings, ctx.program.value)
    return section


async def _async_start_ops(ctx: ProgramContext) -> None:
    runner = web.AppRunner(create_ops_app(ctx.ops), access_log=None)
    await runner.setup()
    ctx.stack.push_async_callback(runner.cleanup)
    listen = _get_listen_settings(ctx)
    await web.TCPSite(runner, listen.host, listen.ops_port).start()


def _register_signal_handlers(ctx: ProgramContext) -> None:
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, ctx.stopping.set)
