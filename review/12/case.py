# ruff: noqa: S106
"""Case 12: a part far down a prompt crashes servers without end."""

import asyncio
import itertools
import os
import sys
import tempfile
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_3 import MODEL, Client, Node, Server, World, main, request  # noqa: E402

ZONES = ["obihiro", "asahikawa"]
POISON = "e4402b7d"
# Parts of a prompt, before its own last one.
PARTS = int(os.environ.get("PARTS", "18"))
STABILITY_S = 3.0
FEW = 3
FIRST_CRASHES = 5
REQUEST_PERIOD_S = 0.1
POISON_PERIOD_S = 1.2
POISONED_S = 30.0


def prompt(attempt: str, *, poisoned: bool) -> str:
    """Return the parts of a prompt: shared ones, and its own as the last."""
    shared = [f"5c1e07{number:02x}:40" for number in range(PARTS)]
    if poisoned:
        shared[-1] = f"{POISON}:40"
    return ",".join([*shared, f"{attempt}:400"])


async def run(record: Path, trouble: bool) -> int:
    """Run the case; return 1 if the rule was broken."""
    with tempfile.TemporaryDirectory() as temporary:
        world = World(record, Path(temporary), ZONES)
        world.poison = POISON
        world.configure(
            [
                {
                    "name": "r-summary",
                    "prefix": "/summary/",
                    "kind": "streaming",
                    "service": "model",
                    "timeout_ms": 8000,
                    "target_latency_ms": 300,
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


async def judge(world: World, trouble: bool) -> int:
    """Send requests with the part; return 1 if too many reach servers."""
    record = world.record
    poisoned: dict[str, float] = {}
    late: list[str] = []

    def on_request(server: Server, attempt: str) -> None:
        if attempt not in poisoned or len(world.crashes_s) < FIRST_CRASHES:
            return
        age_s = world.now_s() - world.crashes_s[FIRST_CRASHES - 1]
        if age_s > STABILITY_S:
            late.append(attempt)
            record.say(f"LATE   {attempt} reaches {server.server_id}: {age_s:.1f} s")

    world.on_request = on_request
    await world.start(nodes_per_zone=2, model=12, plain=1)
    numbers = itertools.count(1)
    outcomes: Counter[str] = Counter()

    async def call(node: Node, period_s: float, kind: str) -> None:
        client = Client(node)
        while True:
            attempt = f"a{next(numbers):08x}"
            if kind == "poisoned":
                poisoned[attempt] = world.now_s()
            data = request(
                "POST",
                f"/summary/{attempt}",
                attempt,
                8000,
                X_Model=MODEL,
                X_Token_Count="1460,80",
                X_Prompt_Prefix=prompt(attempt, poisoned=kind == "poisoned"),
            )
            reply = await world.ask(client, attempt, data, 9.0)
            outcomes[f"{kind} {reply.status}"] += 1
            await asyncio.sleep(period_s)

    tasks = [
        asyncio.create_task(call(node, REQUEST_PERIOD_S, "sound"))
        for node in world.nodes
    ]
    try:
        await asyncio.sleep(6.0)
        if trouble:
            tasks.append(
                asyncio.create_task(call(world.nodes[0], POISON_PERIOD_S, "poisoned"))
            )
        await asyncio.sleep(POISONED_S)
    finally:
        for task in tasks:
            task.cancel()
    record.say(f"answers by status: {dict(outcomes)}")
    record.say(f"servers crashed: {len(world.crashes_s)}; late requests: {len(late)}")
    if not outcomes["sound 200"]:
        return 2
    return 1 if len(late) > FEW else 0


if __name__ == "__main__":
    # TROUBLE=0 leaves the disruption out.
    main(run, HERE / "record.txt", trouble=os.environ.get("TROUBLE", "1") != "0")
