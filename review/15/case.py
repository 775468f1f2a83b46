# ruff: noqa: C901, S106
"""Case 15: servers that leave together without a notice get requests for too long."""

import asyncio
import itertools
import os
import sys
import tempfile
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_3 import (  # noqa: E402
    MODEL,
    Client,
    Node,
    Server,
    World,
    main,
    request,
)

ZONES = ["obihiro", "asahikawa", "sapporo"]
MODEL_SERVERS_PER_ZONE = 4
DRAIN_S = 2.0
SERVES_ON_S = 6.0
REQUEST_PERIOD_S = 0.03


async def run(record: Path, trouble: bool) -> int:
    """Run the case; return 1 if the rule was broken."""
    with tempfile.TemporaryDirectory() as temporary:
        world = World(record, Path(temporary), ZONES)
        world.configure(
            [
                {
                    "name": "r-plan",
                    "prefix": "/plan/",
                    "kind": "streaming",
                    "service": "model",
                    "timeout_ms": 5000,
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


def leaving_servers(world: World) -> list[Server]:
    """Return the servers of one open group of each zone."""
    found = []
    for zone in ZONES:
        group = next(
            server.group
            for server in world.servers.values()
            if server.zone == zone
            and server.group is not None
            and server.group.state == "open"
        )
        found += [world.servers[member] for member in group.members]
    return found


async def judge(world: World, trouble: bool) -> int:
    """Replace half of the servers; return 1 if requests reach them too late."""
    record = world.record
    late: dict[str, float] = {}
    gone_s: dict[str, float] = {}
    sent_from: dict[str, str] = {}

    def on_request(server: Server, attempt: str) -> None:
        if server.server_id not in gone_s:
            return
        age_s = world.now_s() - gone_s[server.server_id]
        if age_s > DRAIN_S:
            late[attempt] = age_s
            record.write(f"LATE   {attempt} from {sent_from[attempt]}: {age_s:.3f} s")

    world.on_request = on_request
    await world.start(nodes_per_zone=2, model=MODEL_SERVERS_PER_ZONE, plain=0)
    await world.add_server(f"i-p0{ZONES[0]}", "plain", ZONES[0])
    numbers = itertools.count(1)
    outcomes: Counter[int] = Counter()

    async def call(node: Node) -> None:
        client = Client(node)
        while True:
            attempt = f"a{next(numbers):08x}"
            sent_from[attempt] = node.name
            data = request(
                "POST",
                f"/plan/{attempt}",
                attempt,
                5000,
                X_Model=MODEL,
                X_Token_Count="1960,20",
                X_Prompt_Prefix=f"5c1e07a2:40,{attempt}:1920",
            )
            reply = await world.ask(client, attempt, data, 6.0)
            outcomes[reply.status] += 1
            await asyncio.sleep(REQUEST_PERIOD_S)

    for server in world.servers.values():
        server.events, server.event_s = 3, 0.02
    calls = [asyncio.create_task(call(node)) for node in world.nodes for _ in "abc"]
    try:
        await asyncio.sleep(5.0)
        leaving = leaving_servers(world)
        for number, server in enumerate(leaving):
            await world.add_server(f"i-n{number}{server.zone}", "model", server.zone)
        await asyncio.sleep(1.0)
        if not trouble:
            for server in leaving:
                server.drain()
            await asyncio.sleep(DRAIN_S + 1.0)
        for server in leaving:
            version = world.store.put("servers", server.server_id, None)
            server.is_silent = True
            gone_s[server.server_id] = world.now_s()
            record.say(f"entry of {server.server_id} is removed @{version}")
        await asyncio.sleep(SERVES_ON_S)
        for server in leaving:
            await server.connections.close()
        await asyncio.sleep(1.0)
    finally:
        for task in calls:
            task.cancel()
    record.say(f"answers by status: {dict(outcomes)}")
    record.say(f"requests that reached servers too late: {len(late)}")
    if late:
        record.say(f"latest: {max(late.values()):.3f} s after the removal")
    if not outcomes[200]:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    # TROUBLE=0 leaves the disruption out.
    main(run, HERE / "record.txt", trouble=os.environ.get("TROUBLE", "1") != "0")
