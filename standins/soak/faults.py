"""Plan faults from a seed and inject them."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..proxy import Direction
from .callers import Callers, RequestKind
from .const import (
    AWAY_S,
    CALLER_PERIOD_S,
    CONFIG_LIMIT_S,
    DRAIN_LIMIT_S,
    EVACUATION_LIMIT_S,
    GRACE_PERIOD_S,
    LAPSE_S,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    STABILITY_WINDOW_S,
    ZONES,
)
from .crowd import async_check_crowd
from .environment import Environment, SoakNode
from .evacuation import async_check_used, set_evacuated
from .records import STORE, Promise
from .server import Server

MEAN_INTERVAL_S = 0.7
MEAN_LATER_INTERVAL_S = 2.5
MEAN_LATEST_INTERVAL_S = 6.0
RESTART_S = (0.1, 1.5)
STOP_SLACK_S = 1.5


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault; `choice`, from 0 to 1, selects its target."""

    kind: str
    at_s: float
    for_s: float
    choice: float


def plan_faults(rng: random.Random, length_s: float) -> list[Fault]:
    """Return a random series of faults, which may overlap."""
    faults: list[Fault] = []
    # Kinds that were added later follow, so that a seed keeps its former faults.
    for kinds, mean_interval_s in (
        (sorted(INJECTORS.keys() - LATER_KINDS - LATEST_KINDS), MEAN_INTERVAL_S),
        (sorted(LATER_KINDS), MEAN_LATER_INTERVAL_S),
        (sorted(LATEST_KINDS), MEAN_LATEST_INTERVAL_S),
    ):
        at_s = rng.expovariate(1 / mean_interval_s)
        while at_s <= length_s:
            kind, for_s = rng.choice(kinds), rng.uniform(0.2, 4.0)
            faults.append(Fault(kind, round(at_s, 3), for_s, rng.random()))
            at_s += rng.expovariate(1 / mean_interval_s)
    return faults


async def async_inject(env: Environment, callers: Callers, faults: list[Fault]) -> None:
    """Inject faults at their times; return when all have ended."""
    async with asyncio.TaskGroup() as tasks:
        for fault in faults:
            tasks.create_task(_async_inject_one(env, callers, fault))


async def _async_inject_one(env: Environment, callers: Callers, fault: Fault) -> None:
    await asyncio.sleep(fault.at_s)
    await INJECTORS[fault.kind](env, callers, fault)


def _select_node(env: Environment, fault: Fault) -> SoakNode:
    return env.nodes[int(fault.choice * len(env.nodes))]


def _select_server(env: Environment, fault: Fault, service: str) -> Server:
    servers = env.live_servers(service)
    return servers[int(fault.choice * len(servers))]


# Node programs


async def _async_kill(env: Environment, _: Callers, fault: Fault) -> None:
    await _async_kill_nodes(env, [_select_node(env, fault)], fault)


async def _async_kill_many(env: Environment, _: Callers, fault: Fault) -> None:
    count = 2 + int(fault.choice * (len(env.nodes) - 1))
    await _async_kill_nodes(env, env.nodes[:count], fault)


async def _async_kill_nodes(
    env: Environment, nodes: list[SoakNode], fault: Fault
) -> None:
    for node in nodes:
        env.records.mark_disturbed(node.name, fault.for_s)
        node.process.kill()
    await asyncio.sleep(min(fault.for_s, RESTART_S[1]))
    for node in nodes:
        if not node.process.is_running:
            node.process.start()
        env.records.mark_disturbed(node.name)


async def _async_pause(env: Environment, _: Callers, fault: Fault) -> None:
    node = _select_node(env, fault)
    env.records.mark_disturbed(node.name, fault.for_s)
    node.process.pause()
    await asyncio.sleep(fault.for_s)
    node.process.resume()
    env.records.mark_disturbed(node.name)


async def _async_reload(env: Environment, _: Callers, fault: Fault) -> None:
    _select_node(env, fault).process.send_signal(signal.SIGHUP)


async def _async_stop(env: Environment, callers: Callers, fault: Fault) -> None:
    """Stop a node as planned, and start it again."""
    await async_stop_node(env, callers, _select_node(env, fault), all_parts(env))


async def async_stop_node(
    env: Environment, callers: Callers, node: SoakNode, parts: list[str]
) -> None:
    """Stop a node; requests that it has read must still be answered.

    Callers go on to use their connections until the process is gone. Nothing is checked
    if one of `parts` was disturbed.
    """
    calls = [
        asyncio.create_task(callers.async_call(node, kind, kept=kept))
        for kind in RequestKind
        for kept in (False, True)
    ]
    await asyncio.sleep(0.05)
    stopped_s = env.records.now_s()
    node.process.terminate()
    while node.process.is_running and env.records.now_s() < stopped_s + GRACE_PERIOD_S:
        kind = random.choice(list(RequestKind))
        calls.append(asyncio.create_task(callers.async_call(node, kind, kept=True)))
        await asyncio.sleep(CALLER_PERIOD_S)
    outcomes = await asyncio.gather(*calls)
    # A planned stop takes the node out of service, but must not fail its requests.
    undisturbed = env.records.is_undisturbed(*parts, for_s=STABILITY_WINDOW_S)
    cut = [item for item in outcomes if item.startswith(("cut", "no answer"))]
    if undisturbed and cut:
        text = f"{node.name}, stopped at {stopped_s:.2f} s: {outcomes}"
        env.records.record_violation(Promise.PLANNED_STOP, text)
    env.records.mark_disturbed(node.name)
    await _async_restart(env, node)


async def _async_restart(env: Environment, node: SoakNode) -> None:
    deadline_s = env.records.now_s() + GRACE_PERIOD_S + STOP_SLACK_S
    while node.process.is_running and env.records.now_s() < deadline_s:
        env.records.mark_disturbed(node.name)
        await asyncio.sleep(0.05)
    node.process.kill()
    if not node.process.is_running:
        node.process.start()
    env.records.mark_disturbed(node.name)


def all_parts(env: Environment) -> list[str]:
    """Return the names of all parts that faults disturb."""
    return [STORE, *(node.name for node in env.nodes), *env.servers, "servers"]


# Store


async def _async_set_store_fault(
    env: Environment, fault: Fault, **changes: float
) -> None:
    env.records.mark_disturbed(STORE, fault.for_s)
    for name, value in changes.items():
        setattr(env.store, name, value)
    await asyncio.sleep(fault.for_s)
    for name in changes:
        setattr(env.store, name, 0)
    env.records.mark_disturbed(STORE)


async def _async_store_refuses(env: Environment, _: Callers, fault: Fault) -> None:
    await _async_set_store_fault(env, fault, status=503 if fault.choice < 0.5 else 429)  # noqa: PLR2004


async def _async_store_slow(env: Environment, _: Callers, fault: Fault) -> None:
    await _async_set_store_fault(env, fault, delay_s=0.1 + 0.6 * fault.choice)


async def _async_store_loses_responses(
    env: Environment, _: Callers, fault: Fault
) -> None:
    await _async_set_store_fault(env, fault, lose_answers=5 + int(20 * fault.choice))


async def _async_compact_store(env: Environment, _: Callers, fault: Fault) -> None:
    env.records.mark_disturbed(STORE)
    env.store.compacted_version = env.store.version


async def _async_store_goes_back(env: Environment, _: Callers, fault: Fault) -> None:
    """Let the store come back from a copy that is as old as the fault is long."""
    env.records.mark_disturbed(STORE, fault.for_s + AWAY_S)
    env.store.copy()
    await asyncio.sleep(fault.for_s)
    env.store.status = 503
    await asyncio.sleep(AWAY_S)
    env.store.go_back()
    env.store.status = 0
    env.records.mark_disturbed(STORE)


async def _async_disconnect_store(env: Environment, _: Callers, fault: Fault) -> None:
    """Disconnect one node from the store, either unresponsive or with resets."""
    node = _select_node(env, fault)
    env.records.mark_disturbed(node.name, fault.for_s)
    if fault.choice * len(env.nodes) % 1 < 0.5:  # noqa: PLR2004
        node.store_proxy.block()
    else:
        await node.store_proxy.async_disconnect()
    await asyncio.sleep(fault.for_s)
    await node.store_proxy.async_restore()
    env.records.mark_disturbed(node.name)


async def _async_stall_store_connections(
    env: Environment, _: Callers, fault: Fault
) -> None:
    node = _select_node(env, fault)
    env.records.mark_disturbed(node.name)
    node.store_proxy.stall_open_connections()


# Servers


async def _async_crash_model_server(env: Environment, _: Callers, fault: Fault) -> None:
    await _async_crash(env, fault, MODEL_SERVICE)


async def _async_crash_plain_server(env: Environment, _: Callers, fault: Fault) -> None:
    await _async_crash(env, fault, PLAIN_SERVICE)


async def _async_crash(env: Environment, fault: Fault, service: str) -> None:
    server = _select_server(env, fault, service)
    env.records.mark_disturbed("servers", fault.for_s)
    await env.async_crash_server(server)
    await asyncio.sleep(fault.for_s)
    await env.async_add_server(service, server.zone)
    env.records.mark_disturbed("servers")


async def _async_drain(env: Environment, _: Callers, fault: Fault) -> None:
    """Drain and remove a server after another was added."""
    service = MODEL_SERVICE if fault.choice < 0.7 else PLAIN_SERVICE  # noqa: PLR2004
    server = _select_server(env, fault, service)
    await env.async_add_server(service, server.zone)
    env.mark_leaving(server)
    await asyncio.sleep(DRAIN_LIMIT_S + fault.for_s)
    await env.async_remove_server(server)


async def _async_say_leaving(env: Environment, _: Callers, fault: Fault) -> None:
    """Let a server say only in its answers that it leaves, then remove it."""
    service = MODEL_SERVICE if fault.choice < 0.5 else PLAIN_SERVICE  # noqa: PLR2004
    server = _select_server(env, fault, service)
    await env.async_add_server(service, server.zone)
    server.says_leaving = True
    await asyncio.sleep(2 * DRAIN_LIMIT_S + fault.for_s)
    if server.is_running:
        await env.async_remove_server(server)


async def _async_ask_for_pause(env: Environment, _: Callers, fault: Fault) -> None:
    """Let a server turn all requests away and ask for a pause."""
    service = MODEL_SERVICE if fault.choice < 0.5 else PLAIN_SERVICE  # noqa: PLR2004
    server = _select_server(env, fault, service)
    server.full_until_s = env.records.now_s() + 1.0 + fault.for_s


async def _async_disturb_links(env: Environment, _: Callers, fault: Fault) -> None:
    """Disturb one server's links: block both ways or one, stall, delay or reset."""
    server = _select_server(env, fault, MODEL_SERVICE)
    proxy = server.proxy
    if proxy is None:
        return
    env.records.mark_disturbed("servers", fault.for_s)
    env.records.mark_disturbed(server.server_id, fault.for_s)
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
    if server.is_running:
        await proxy.async_restore()
    env.records.mark_disturbed("servers")
    env.records.mark_disturbed(server.server_id)


async def _async_lose_order_responses(
    env: Environment, _: Callers, fault: Fault
) -> None:
    servers = env.live_servers(MODEL_SERVICE)
    for server in servers:
        server.lost_response_ratio = 0.5
    await asyncio.sleep(fault.for_s)
    for server in servers:
        server.lost_response_ratio = 0.0


async def _async_lapse(env: Environment, _: Callers, fault: Fault) -> None:
    """Let a member server lose the store while it serves on."""
    server = _select_server(env, fault, MODEL_SERVICE)
    server.lapsed_until_s = env.records.now_s() + LAPSE_S + fault.for_s


# Operator and callers


async def _async_crowd(env: Environment, callers: Callers, fault: Fault) -> None:
    checks = (async_check_crowd(env, callers, item, fault.for_s) for item in env.nodes)
    await asyncio.gather(*checks)


async def _async_evacuate(env: Environment, _: Callers, fault: Fault) -> None:
    """Evacuate a zone, or two one after the other, and restore them."""
    step = 1 if fault.choice < 0.5 else -1  # noqa: PLR2004
    zones = ZONES[::step][: 1 + int(4 * fault.choice) % 2]
    for active in (True, False):
        for zone in zones:
            set_evacuated(env, zone, active=active)
            await asyncio.sleep(fault.for_s / 2)
        await asyncio.sleep(EVACUATION_LIMIT_S * active)
    await async_check_used(env, zones)


async def _async_add_route(env: Environment, callers: Callers, fault: Fault) -> None:
    """Add a route; connected nodes must apply it within the promised time."""
    prefix = f"/new-{env.version}/"
    env.change_configuration(prefix)
    await asyncio.sleep(CONFIG_LIMIT_S + 2 * DRAIN_LIMIT_S * fault.choice + 1.0)
    async with asyncio.TaskGroup() as tasks:
        for node in env.nodes:
            tasks.create_task(callers.async_call(node, RequestKind.READ, prefix))


Injector = Callable[[Environment, Callers, Fault], Awaitable[None]]
INJECTORS: dict[str, Injector] = {
    "add route": _async_add_route,
    "ask for pause": _async_ask_for_pause,
    "crash model server": _async_crash_model_server,
    "crash plain server": _async_crash_plain_server,
    "crowd": _async_crowd,
    "cut store": _async_disconnect_store,
    "drain": _async_drain,
    "evacuate": _async_evacuate,
    "kill": _async_kill,
    "kill many": _async_kill_many,
    "lapse": _async_lapse,
    "link": _async_disturb_links,
    "lose orders": _async_lose_order_responses,
    "pause": _async_pause,
    "reload": _async_reload,
    "say leaving": _async_say_leaving,
    "silence store": _async_stall_store_connections,
    "stop": _async_stop,
    "store forgets": _async_compact_store,
    "store goes back": _async_store_goes_back,
    "store loses answers": _async_store_loses_responses,
    "store refuses": _async_store_refuses,
    "store slow": _async_store_slow,
}
LATER_KINDS = frozenset({"crowd", "evacuate", "lapse"})
LATEST_KINDS = frozenset({"store goes back"})
