"""An entry that cannot be read appears in the list of servers; then servers drain.

The rule DRAIN holds if no request reaches a server later than `drain_timeout_ms` after
the store accepted its report that it drains.
"""

import asyncio
import sys
from pathlib import Path

from common.deployment import (
    ZONES,
    Attempt,
    Client,
    Deployment,
    has_trouble,
    run_case,
)
from common.record import count
from common.servers import Server

STEADY_S = 3.0
# Longer than the stability window.
AFTER_ENTRY_S = 4.0
DRAIN_LIMIT_S = 2.0
# A draining server goes on serving for its drain time and a little longer.
EXIT_AFTER_S = 6.0
AFTER_EXIT_S = 4.0
PAUSE_S = 0.1
# Bytes of another writer: neither whole JSON nor an entry.
UNREADABLE = b'{"service":"cobranza","labels":' + b"[" * 4000


async def case(deployment: Deployment) -> bool:
    """Return whether the rule held."""
    loops = [
        asyncio.create_task(_send_requests(deployment, Client(node)))
        for node in deployment.nodes
    ]
    await asyncio.sleep(STEADY_S)
    if has_trouble():
        deployment.store.put("servers", "i-of-another-writer", UNREADABLE)
        deployment.record.write("unreadable_entry", bytes=len(UNREADABLE))
    await asyncio.sleep(AFTER_ENTRY_S)
    drained = await _replace_plain_servers(deployment)
    await asyncio.sleep(DRAIN_LIMIT_S)
    replaced_s = deployment.record.now_s()
    await asyncio.sleep(AFTER_EXIT_S)
    for loop in loops:
        loop.cancel()
    return _check(deployment, drained, replaced_s)


async def _send_requests(deployment: Deployment, client: Client) -> None:
    while True:
        await deployment.request(client, "/read/balance")
        await asyncio.sleep(PAUSE_S)


async def _replace_plain_servers(deployment: Deployment) -> dict[str, float]:
    """Start new servers, drain the old ones; return when each report was accepted."""
    old = [server for server in deployment.servers if type(server) is Server]
    for number, zone in enumerate(ZONES * (len(old) // len(ZONES))):
        await deployment.add_server(f"i-{zone}-new-{number}", zone)
    await asyncio.sleep(1.0)
    drained = {server.server_id: await server.drain() for server in old}
    await asyncio.sleep(EXIT_AFTER_S)
    for server in old:
        server.stop()
        deployment.servers.remove(server)
    return drained


def _check(
    deployment: Deployment, drained: dict[str, float], replaced_s: float
) -> bool:
    late = [
        run
        for run in deployment.runs
        if run.server_id in drained
        and run.at_s > drained[run.server_id] + DRAIN_LIMIT_S
    ]
    latest_s = max((run.at_s - drained[run.server_id] for run in late), default=0.0)

    def is_late(attempt: Attempt) -> bool:
        return attempt.sent_s >= replaced_s

    def is_served(attempt: Attempt) -> bool:
        return is_late(attempt) and attempt.outcome == "200"

    summary = (
        f"{len(late)} requests reached a server more than {DRAIN_LIMIT_S} s after it "
        f"reported that it drains, the last one {latest_s:.1f} s after; once the old "
        f"servers had exited {count(deployment.attempts, is_served)} of "
        f"{count(deployment.attempts, is_late)} requests were served\n"
    )
    deployment.record.write("result", late=len(late), summary=summary.strip())
    sys.stdout.write(summary)
    return not late


if __name__ == "__main__":
    run_case(Path(__file__).with_name("record.txt"), case)
