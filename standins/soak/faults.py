"""Draws and injects faults."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..proxy import Direction
from .callers import Callers, Kind
from .const import (
    CONFIG_LIMIT_S,
    DRAIN_LIMIT_S,
    GRACE_S,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    STABILITY_WINDOW_S,
)
from .records import STORE, Promise
from .server import Server
from .world import SoakNode, World

MEAN_GAP_S = 0.7
RESTART_S = (0.1, 1.5)
STOP_SLACK_S = 1.5


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault; `choice` from 0 to 1 picks what it strikes."""

    kind: str
    at_s: float
    for_s: float
    choice: float


def plan_faults(rng: random.Random, length_s: float) -> list[Fault]:
    """Return faults in series that overlap, from a seed."""
    faults: list[Fault] = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(1 / MEAN_GAP_S)
        if at_s > length_s:
            return faults
        kind = rng.choice(sorted(INJECTORS))
        faults.append(Fault(kind, round(at_s, 3), rng.uniform(0.2, 4.0), rng.random()))


async def async_inject(world: World, callers: Callers, faults: list[Fault]) -> None:
    """Inject faults at their times; return when all have ended."""
    async with asyncio.TaskGroup() as tasks:
        for fault in faults:
            tasks.create_task(_async_inject_one(world, callers, fault))


async def _async_inject_one(world: World, callers: Callers, fault: Fault) -> None:
    await asyncio.sleep(fault.at_s)
    await INJECTORS[fault.kind](world, callers, fault)


def _node(world: World, fault: Fault) -> SoakNode:
    return world.nodes[int(fault.choice * len(world.nodes))]


def _server(world: World, fault: Fault, service: str) -> Server:
    servers = world.live_servers(service)
    return servers[int(fault.choice * len(servers))]


# Node programs


async def _async_kill(world: World, _: Callers, fault: Fault) -> None:
    await _async_kill_nodes(world, [_node(world, fault)], fault)


async def _async_kill_many(world: World, _: Callers, fault: Fault) -> None:
    count = 2 + int(fault.choice * (len(world.nodes) - 1))
    await _async_kill_nodes(world, world.nodes[:count], fault)


async def _async_kill_nodes(world: World, nodes: list[SoakNode], fault: Fault) -> None:
    for node in nodes:
        world.records.disturb(node.name, fault.for_s)
        node.process.kill()
    await asyncio.sleep(min(fault.for_s, RESTART_S[1]))
    for node in nodes:
        if not node.process.is_running:
            node.process.start()
        world.records.disturb(node.name)


async def _async_pause(world: World, _: Callers, fault: Fault) -> None:
    node = _node(world, fault)
    world.records.disturb(node.name, fault.for_s)
    node.process.pause()
    await asyncio.sleep(fault.for_s)
    node.process.resume()
    world.records.disturb(node.name)


async def _async_reload(world: World, _: Callers, fault: Fault) -> None:
    _node(world, fault).process.send_signal(signal.SIGHUP)


async def _async_stop(world: World, callers: Callers, fault: Fault) -> None:
    """Stop a node as planned; it answers what it has read."""
    node = _node(world, fault)
    calls = [
        asyncio.create_task(callers.async_call(node, kind))
        for kind in Kind
        for _ in "ab"
    ]
    await asyncio.sleep(0.05)
    stopped_s = world.records.now_s()
    node.process.terminate()
    outcomes = await asyncio.gather(*calls)
    # A stop takes the node out of service, but is no fault for its requests.
    judged = world.records.is_calm(*_all_parts(world), for_s=STABILITY_WINDOW_S)
    cut = [item for item in outcomes if item.startswith(("cut", "no answer"))]
    if judged and cut:
        text = f"{node.name}, stopped at {stopped_s:.2f} s: {outcomes}"
        world.records.violate(Promise.PLANNED_STOP, text)
    world.records.disturb(node.name)
    await _async_restart(world, node)


async def _async_restart(world: World, node: SoakNode) -> None:
    limit_s = world.records.now_s() + GRACE_S + STOP_SLACK_S
    while node.process.is_running and world.records.now_s() < limit_s:
        world.records.disturb(node.name)
        await asyncio.sleep(0.05)
    node.process.kill()
    if not node.process.is_running:
        node.process.start()
    world.records.disturb(node.name)


def _all_parts(world: World) -> list[str]:
    return [STORE, *(node.name for node in world.nodes), *world.servers, "servers"]


# Store


async def _async_store(world: World, fault: Fault, **changes: float) -> None:
    world.records.disturb(STORE, fault.for_s)
    for name, value in changes.items():
        setattr(world.store, name, value)
    await asyncio.sleep(fault.for_s)
    for name in changes:
        setattr(world.store, name, 0)
    world.records.disturb(STORE)


async def _async_store_refuses(world: World, _: Callers, fault: Fault) -> None:
    await _async_store(world, fault, status=503 if fault.choice < 0.5 else 429)  # noqa: PLR2004


async def _async_store_slow(world: World, _: Callers, fault: Fault) -> None:
    await _async_store(world, fault, delay_s=0.1 + 0.6 * fault.choice)


async def _async_store_loses_answers(world: World, _: Callers, fault: Fault) -> None:
    await _async_store(world, fault, lose_answers=5 + int(20 * fault.choice))


async def _async_store_forgets(world: World, _: Callers, fault: Fault) -> None:
    world.records.disturb(STORE)
    world.store.compacted_version = world.store.version


async def _async_cut_store(world: World, _: Callers, fault: Fault) -> None:
    """Cut one node off from the store: without an answer, or with resets."""
    node = _node(world, fault)
    world.records.disturb(node.name, fault.for_s)
    if fault.choice * len(world.nodes) % 1 < 0.5:  # noqa: PLR2004
        node.store_proxy.block()
    else:
        await node.store_proxy.async_disconnect()
    await asyncio.sleep(fault.for_s)
    await node.store_proxy.async_restore()
    world.records.disturb(node.name)


async def _async_silence_store(world: World, _: Callers, fault: Fault) -> None:
    node = _node(world, fault)
    world.records.disturb(node.name)
    node.store_proxy.stall_open_connections()


# Servers


async def _async_crash_model_server(world: World, _: Callers, fault: Fault) -> None:
    await _async_crash(world, fault, MODEL_SERVICE)


async def _async_crash_plain_server(world: World, _: Callers, fault: Fault) -> None:
    await _async_crash(world, fault, PLAIN_SERVICE)


async def _async_crash(world: World, fault: Fault, service: str) -> None:
    server = _server(world, fault, service)
    world.records.disturb("servers", fault.for_s)
    await world.async_crash_server(server)
    await asyncio.sleep(fault.for_s)
    await world.async_add_server(service, server.zone)
    world.records.disturb("servers")


async def _async_drain(world: World, _: Callers, fault: Fault) -> None:
    """Take a server away as planned, and add another."""
    service = MODEL_SERVICE if fault.choice < 0.7 else PLAIN_SERVICE  # noqa: PLR2004
    server = _server(world, fault, service)
    await world.async_add_server(service, server.zone)
    world.announce_leaving(server)
    await asyncio.sleep(DRAIN_LIMIT_S + fault.for_s)
    await world.async_remove_server(server)


async def _async_link(world: World, _: Callers, fault: Fault) -> None:
    """Disturb the links of one server: cut, one way, silent, late or reset."""
    server = _server(world, fault, MODEL_SERVICE)
    proxy = server.proxy
    if proxy is None:
        return
    world.records.disturb("servers", fault.for_s)
    world.records.disturb(server.server_id, fault.for_s)
    match int(fault.for_s * 10) % 5:
        case 0:
            proxy.block()
        case 1:
            proxy.block_one_way(Direction.TO_CLIENT)
        case 2:
            proxy.stall_open_connections()
        case 3:
            proxy.delay_s = 0.2
        case _:
            await proxy.async_disconnect()
    await asyncio.sleep(fault.for_s)
    if server.alive:
        await proxy.async_restore()
    world.records.disturb("servers")
    world.records.disturb(server.server_id)


async def _async_lose_orders(world: World, _: Callers, fault: Fault) -> None:
    servers = world.live_servers(MODEL_SERVICE)
    for server in servers:
        server.lost_answers = 0.5
    await asyncio.sleep(fault.for_s)
    for server in servers:
        server.lost_answers = 0.0


# Configuration


async def _async_add_route(world: World, callers: Callers, fault: Fault) -> None:
    """Add a route; all nodes in touch know it within the promised time."""
    prefix = f"/new-{world.version}/"
    world.change_configuration(prefix)
    await asyncio.sleep(CONFIG_LIMIT_S + 2 * DRAIN_LIMIT_S * fault.choice + 1.0)
    async with asyncio.TaskGroup() as tasks:
        for node in world.nodes:
            tasks.create_task(callers.async_call(node, Kind.READ, prefix))


Injector = Callable[[World, Callers, Fault], Awaitable[None]]
INJECTORS: dict[str, Injector] = {
    "add route": _async_add_route,
    "crash model server": _async_crash_model_server,
    "crash plain server": _async_crash_plain_server,
    "cut store": _async_cut_store,
    "drain": _async_drain,
    "kill": _async_kill,
    "kill many": _async_kill_many,
    "link": _async_link,
    "lose orders": _async_lose_orders,
    "pause": _async_pause,
    "reload": _async_reload,
    "silence store": _async_silence_store,
    "stop": _async_stop,
    "store forgets": _async_store_forgets,
    "store loses answers": _async_store_loses_answers,
    "store refuses": _async_store_refuses,
    "store slow": _async_store_slow,
}
