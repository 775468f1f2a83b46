"""The platform's limit on the memory of a process, and what a kill costs."""

import asyncio
from collections import Counter

from .deployment import Deployment
from .nodes import Node

MEMORY_LIMIT_MB = 300
MEMORY_PERIOD_S = 0.05
RESTART_S = 0.5
# Connections that a node may close without an answer, by the rule LOST.
LOST_LIMIT = 3


async def limit_memory(
    deployment: Deployment, node: Node, peak_mb: Counter[str], kills: Counter[str]
) -> None:
    """Kill a process that exceeds its memory, and start it again."""
    while True:
        await asyncio.sleep(MEMORY_PERIOD_S)
        used_mb = round(node.memory_mb())
        peak_mb[node.name] = max(peak_mb[node.name], used_mb)
        if used_mb > MEMORY_LIMIT_MB:
            deployment.record.write("memory_exceeded", node=node.name, mb=used_mb)
            kills[node.name] += 1
            node.kill()
            await asyncio.sleep(RESTART_S)
            node.start()


def find_lost(deployment: Deployment, without: set[str]) -> Counter[str]:
    """Return how many requests each node lost that had reached a sound server.

    These came on a kept connection, which was closed without an answer. The servers
    in `without` are not sound.
    """
    ran_on = {run.attempt_id: run.server_id for run in deployment.runs}
    lost: Counter[str] = Counter()
    for attempt in deployment.attempts:
        server_id = ran_on.get(attempt.attempt_id)
        is_cut = attempt.outcome in {"closed", "reset"}
        if server_id is None or server_id in without:
            continue
        if is_cut and attempt.is_kept:
            lost[attempt.node] += 1
            deployment.record.write(
                "lost", attempt=attempt.attempt_id, server=server_id
            )
    return lost
