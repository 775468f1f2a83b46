"""Tests of the service with an event loop, HTTP engines and an in-memory table."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from gooseberryhall.config.models import ObjectKind, VmLabels
from gooseberryhall.core.clock import now_s
from gooseberryhall.core.context import Program, ProgramContext
from gooseberryhall.core.runtime import Runtime
from gooseberryhall.core.state import Identity, State
from gooseberryhall.core.timer import TimerService
from gooseberryhall.groups.events import VmsListed
from gooseberryhall.groups.models import GroupPhase, Vm, VmState
from gooseberryhall.groups.service import async_setup
from gooseberryhall.links.messages import GroupView, Message
from gooseberryhall.membership.models import Evidence, MemberHealth, MemberState
from gooseberryhall.settings.models import NodeSettings
from gooseberryhall.telemetry.ops import OpsState
from gooseberryhall.telemetry.timeline import Timeline
from tests.fakes import FakeTable

from .simulated_zone import make_spec

# The lease is acquired at the first tick; a group needs two more ticks and a probe.
SERVING_LIMIT_S = 6.0
ZONE = "z1"
SETTINGS = {
    "node": "n1",
    "zone": ZONE,
    "region": "r1",
    "link_secret": "0123456789abcdef",
    "entry": {"port": 1, "ops_port": 2},
    "control": {"port": 3, "ops_port": 4},
    "admin": {"port": 5, "ops_port": 6},
    "platform": {
        "table_address": "http://127.0.0.1:1",
        "objects_address": "http://127.0.0.1:1",
        "weights_address": "http://127.0.0.1:1",
        "vms_address": "http://127.0.0.1:1",
    },
    "engines": {"order_token": "secret", "refuse_old_fence": True},
}


class Engines:
    """Engines of one zone behind one HTTP server, distinguished by their path."""

    def __init__(self) -> None:
        """Start with idle engines."""
        self.assigned: dict[str, tuple[str, int]] = {}

    async def async_order(self, req: web.Request) -> web.Response:
        """Apply an order."""
        if req.headers.get("Authorization") != "Bearer secret":
            return web.json_response({"error": "wrong_token"}, status=401)
        body = await req.json()
        vm = req.match_info["vm"]
        if body["order"] == "release":
            self.assigned.pop(vm, None)
        else:
            self.assigned[vm] = (body["group"], body["generation"])
        return web.json_response({})

    def evidence(self, vm: str) -> Evidence:
        """Return the result of a probe."""
        group, generation = self.assigned.get(vm, ("", 0))
        state = MemberState.SERVING if group else MemberState.IDLE
        health = MemberHealth(vm, "boot", group, generation, state, False, 0, 0)
        return Evidence(vm, health, now_s())


@pytest.fixture
async def ctx() -> AsyncIterator[ProgramContext]:
    """Return the context of a control program, stopped after the test."""
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        created = ProgramContext(
            program=Program.CONTROL,
            settings=NodeSettings.model_validate(SETTINGS),
            runtime=Runtime(State(Identity("n1", ZONE, "r1"))),
            timer=TimerService(),
            session=session,
            stack=stack,
            ops=OpsState(Timeline()),
            incarnation="i1",
        )
        stack.push_async_callback(created.async_cancel_tasks)
        created.async_create_task(created.timer.async_run(), "timer")
        yield created


async def async_wait_for(condition: Callable[[], bool], limit_s: float) -> None:
    """Wait until the condition is met; fail after `limit_s`."""
    deadline_s = now_s() + limit_s
    while not condition():
        assert now_s() < deadline_s, "condition was not met in time"
        await asyncio.sleep(0.02)


async def async_run_zone(
    ctx: ProgramContext, table: FakeTable, engines: Engines
) -> list[Message]:
    """Start the service for a zone with a declared group of two members.

    Returns the list to which sent messages are appended.
    """
    app = web.Application()
    app.router.add_post("/{vm}/orders", engines.async_order)
    server = await ctx.stack.enter_async_context(TestServer(app))
    vms = tuple(
        Vm(vm, ZONE, "d1", f"{str(server.make_url('/')) + vm}", 1, VmState.LIVE)
        for vm in ("v1", "v2", "v3")
    )
    config = ctx.runtime.state.config
    config.revision = 1
    config.objects[ObjectKind.GROUP_SPEC, "a"] = make_spec("a")
    for vm in vms:
        labels = VmLabels(name=vm.vm, labels={"use": "yes"})
        config.objects[ObjectKind.VM_LABELS, vm.vm] = labels

    def probe() -> None:
        evidence = ctx.runtime.state.membership.evidence
        evidence.update({vm.vm: engines.evidence(vm.vm) for vm in vms})

    probe()
    ctx.timer.async_subscribe(0.05, probe)
    ctx.runtime.async_dispatch(VmsListed(vms))
    sent: list[Message] = []
    await async_setup(ctx, sent.append, table)
    return sent


def sent_serving_group(sent: list[Message]) -> bool:
    """Return whether a group view with a serving group was sent."""
    return any(
        isinstance(view, GroupView)
        and any(group.phase is GroupPhase.SERVING for group in view.groups)
        for view in sent
    )


async def test_group_serves_after_table_outage(ctx: ProgramContext) -> None:
    """Guards against a planner that does not resume after a table outage.

    Lost responses of the table may only delay groups.
    """
    table = FakeTable()
    table.down = True
    sent = await async_run_zone(ctx, table, Engines())
    leases = ctx.runtime.state.groups.leases
    await async_wait_for(lambda: bool(leases) and not leases[ZONE].pending, 5)
    table.down = False
    table.lose_answers = 2
    await async_wait_for(lambda: sent_serving_group(sent), SERVING_LIMIT_S)
    status: dict[str, Any] = ctx.ops.status()["groups"]
    assert status["groups"]["a-z1-1"]["serves"] is True
    stranded = {vm: item["stranded_by"] for vm, item in status["vms"].items()}
    assert stranded == {"v1": None, "v2": None, "v3": "spare"}


async def test_stop_releases_the_lease(ctx: ProgramContext) -> None:
    """Guards against a successor that waits 7.6 s after every planned restart."""
    table = FakeTable()
    sent = await async_run_zone(ctx, table, Engines())
    await async_wait_for(lambda: sent_serving_group(sent), SERVING_LIMIT_S)
    await ctx.stack.aclose()
    assert table.rows[f"lease/{ZONE}"].value["released"] is True
