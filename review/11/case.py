# ruff: noqa: ASYNC110, S106
"""Case 11: after a drill of the store, an owner uses a term for the second time."""

import asyncio
import itertools
import json
import os
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_3 import (  # noqa: E402
    MODEL,
    Client,
    Group,
    Node,
    Server,
    World,
    main,
    request,
)

ZONES = ["qld-a", "qld-b", "qld-c"]
NODES_PER_ZONE = 2
MODEL_SERVERS_PER_ZONE = 6
AWAY_S = 0.8
REQUEST_PERIOD_S = 0.2
DRAIN_S = 2.5
RELEASE_GAP_S = 2.2
TAKEN_OVER_S = 1.0
WATCHED_S = 8.0


async def run(record: Path, trouble: bool) -> int:
    """Run the case; return 1 if the rule was broken."""
    with tempfile.TemporaryDirectory() as temporary:
        world = World(record, Path(temporary), ZONES)
        world.configure(
            [
                {
                    "name": "r-help",
                    "prefix": "/help/",
                    "kind": "streaming",
                    "service": "model",
                    "timeout_ms": 5078,
                    "target_latency_ms": 400,
                    "priority": 1,
                    "session_affinity": True,
                    "stream_resumption": True,
                    "target_gap_ms": 300,
                }
            ]
        )
        try:
            return await judge(world, trouble)
        finally:
            await world.stop()


def leases(world: World) -> dict[str, tuple[str, int]]:
    """Return owner and term of each zone by the rows of the store."""
    found = {}
    for zone in ZONES:
        value, _ = world.store.rows.get(("leases", "", zone), (None, 0))
        row = json.loads(value or b'{"owner": "", "term": 0}')
        found[zone] = (row["owner"], row["term"])
    return found


async def restart(world: World, node: Node) -> None:
    """Stop a machine with SIGTERM and start it again."""
    world.record.say(f"planned restart of {node.name}")
    node.signal(signal.SIGTERM)
    while node.process is not None and node.process.poll() is None:
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.3)
    node.start()


async def restart_owners(world: World, owners: dict[str, tuple[str, int]]) -> None:
    """Restart the machines that own zones, all at a time, and wait for new owners."""
    names = {name for name, _ in owners.values()}
    nodes = [node for node in world.nodes if node.name in names]
    await asyncio.gather(*(restart(world, node) for node in nodes))
    await asyncio.sleep(TAKEN_OVER_S)
    world.record.say(f"leases: {leases(world)}")


async def replace(world: World, zone: str, old: Server, number: int) -> None:
    """Replace a model server: the new one starts first, the old one drains."""
    await world.add_server(f"i-n{number}{zone}", "model", zone)
    old.drain()
    await asyncio.sleep(DRAIN_S)
    await old.leave()


async def release(world: World, zone: str, first: int) -> None:
    """Replace two servers of a zone, of different groups, one after the other."""
    replaced = []
    for number, group in enumerate(open_groups(world, zone)[:-3:-1], first):
        member = world.servers[group.members[1]]
        replaced.append(asyncio.create_task(replace(world, zone, member, number)))
        await asyncio.sleep(RELEASE_GAP_S)
    await asyncio.gather(*replaced)


def open_groups(world: World, zone: str) -> list[Group]:
    """Return the open groups of a zone in the order of their epochs."""
    found = [
        server.group
        for server in world.servers.values()
        if server.zone == zone
        and server.state == "ready"
        and server.group is not None
        and server.group.state == "open"
    ]
    return sorted(found, key=lambda group: group.epoch)


async def judge(world: World, trouble: bool) -> int:
    """Let the store have a drill; return 1 if a server breaks TWO."""
    record = world.record
    await world.start(NODES_PER_ZONE, MODEL_SERVERS_PER_ZONE, plain=1)
    numbers = itertools.count(1)
    outcomes: Counter[int] = Counter()

    async def call(node: Node) -> None:
        client = Client(node)
        while True:
            attempt = f"a{next(numbers):08x}"
            data = request(
                "POST",
                f"/help/{attempt}",
                attempt,
                5078,
                X_Model=MODEL,
                X_Token_Count="674,80",
                X_Prompt_Prefix=f"5c1e07a2:40,{attempt}:634",
            )
            reply = await world.ask(client, attempt, data, 6.0)
            outcomes[reply.status] += 1
            await asyncio.sleep(REQUEST_PERIOD_S)

    tasks = [asyncio.create_task(call(node)) for node in world.nodes]
    try:
        await asyncio.sleep(4.0)
        record.say(f"leases: {leases(world)}")
        world.store.copy()
        copied_s = world.now_s()
        await restart_owners(world, leases(world))
        owners = leases(world)
        await asyncio.gather(*(release(world, zone, 1) for zone in ZONES))
        if trouble:
            await world.store.drill(copied_s, AWAY_S)
        await asyncio.sleep(1.5)
        record.say(f"leases: {leases(world)}")
        await restart_owners(world, owners)
        await asyncio.gather(*(release(world, zone, 3) for zone in ZONES))
        await asyncio.sleep(WATCHED_S)
    finally:
        for task in tasks:
            task.cancel()
    record.say(f"answers by status: {dict(outcomes)}")
    record.say(f"servers that broke TWO: {world.two}")
    if not outcomes[200]:
        return 2
    return 1 if world.two else 0


if __name__ == "__main__":
    # TROUBLE=0 leaves the disruption out.
    main(run, HERE / "record.txt", trouble=os.environ.get("TROUBLE", "1") != "0")
