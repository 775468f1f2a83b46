# ruff: noqa: PLR0915
"""Case 13: an evacuation after a drill of the store is lost."""

import asyncio
import itertools
import os
import sys
import tempfile
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_3 import Client, Node, Server, World, main, request  # noqa: E402

ZONES = ["qld-a", "qld-b", "qld-c"]
EVACUATED = "qld-a"
EVACUATION_S = 5.0
OUTER_S = 6.0
# The store's disruption has to be over for the stability window.
STABILITY_S = 4.0
COPY_AGE_S = 8.0
AWAY_S = 0.5
REQUEST_PERIOD_S = 0.06


async def run(record: Path, trouble: bool) -> int:
    """Run the case; return 1 if the rule was broken."""
    with tempfile.TemporaryDirectory() as temporary:
        world = World(record, Path(temporary), ZONES)
        world.bounds = {
            "stability_window_ms": STABILITY_S * 1000,
            "evacuation_ms": EVACUATION_S * 1000,
            "outer_bound_ms": OUTER_S * 1000,
            "cold_overrun": 1.5,
            "cold_slack": 5,
        }
        world.configure(
            [
                {
                    "name": "r-lookup",
                    "prefix": "/lookup/",
                    "kind": "safe",
                    "service": "plain",
                    "timeout_ms": 3000,
                    "target_latency_ms": 331,
                    "priority": 2,
                }
            ]
        )
        try:
            return await judge(world, trouble)
        finally:
            await world.stop()


async def judge(world: World, trouble: bool) -> int:
    """Play the operator; return 1 if requests reach the evacuated zone too late."""
    record = world.record
    late: Counter[str] = Counter()
    # When the evacuation in force was acknowledged.
    acknowledged_s: float | None = None
    sent_from: dict[str, str] = {}

    def on_request(server: Server, attempt: str) -> None:
        if acknowledged_s is None or server.zone != EVACUATED:
            return
        age_s = world.now_s() - acknowledged_s
        if age_s > EVACUATION_S + OUTER_S:
            late[sent_from[attempt]] += 1
            record.write(f"LATE   {attempt}: {age_s:.1f} s after the evacuation")

    world.on_request = on_request
    await world.start(nodes_per_zone=1, model=4, plain=2)
    numbers = itertools.count(1)
    outcomes: Counter[int] = Counter()

    async def call(node: Node) -> None:
        client = Client(node)
        while True:
            attempt = f"a{next(numbers):08x}"
            sent_from[attempt] = node.name
            data = request("GET", f"/lookup/{attempt}", attempt, 3000)
            reply = await world.ask(client, attempt, data, 4.0)
            outcomes[reply.status] += 1
            await asyncio.sleep(REQUEST_PERIOD_S)

    calls = [asyncio.create_task(call(node)) for node in world.nodes for _ in "ab"]
    row = f"evacuate/{EVACUATED}"
    try:
        await asyncio.sleep(3.0)
        version = world.store.put("op", row, b"{}")
        record.say(f"operator: {row} written @{version}")
        await asyncio.sleep(EVACUATION_S + 1.0)
        world.store.copy()
        copied_s = world.now_s()
        await asyncio.sleep(COPY_AGE_S - 1.0 - AWAY_S)
        version = world.store.put("op", row, None)
        record.say(f"operator: {row} removed @{version}")
        await asyncio.sleep(1.0)
        if trouble:
            await world.store.drill(copied_s, AWAY_S)
        else:
            await asyncio.sleep(AWAY_S)
        await asyncio.sleep(2.0)
        version = world.store.put("op", row, b"{}")
        acknowledged_s = world.now_s()
        record.say(f"operator: {row} written again @{version}")
        await asyncio.sleep(EVACUATION_S + OUTER_S + 15.0)
    finally:
        for task in calls:
            task.cancel()
    record.say(f"answers by status: {dict(outcomes)}")
    record.say(f"requests that reached {EVACUATED} too late, by node: {dict(late)}")
    if not outcomes[200]:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    # TROUBLE=0 leaves the disruption out.
    main(run, HERE / "record.txt", trouble=os.environ.get("TROUBLE", "1") != "0")
