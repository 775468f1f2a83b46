"""An entry whose address is no address appears in the list of servers.

The rule CONFIG is broken if, of the requests that are unanswered at the timeout of
their route, eight or more and over half have no answer half a second later.
"""

import asyncio
import json
import sys
from collections import Counter
from pathlib import Path

from common.deployment import PLAIN_SERVICE, Client, Deployment, has_trouble, run_case

STEADY_S = 3.0
TROUBLE_S = 15.0
CLIENTS_PER_NODE = 4
PAUSE_S = 0.1
ROUTE_TIMEOUT_S = 1.5
ANSWER_SLACK_S = 0.5
# Clients wait longer than the route's timeout.
DEADLINE_MS = 4000
MIN_REQUESTS = 8
# The address lacks a number.
ENTRY = {
    "service": PLAIN_SERVICE,
    "address": "127.0..1:8310",
    "zone": "lima-a",
    "version": "1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
}


async def case(deployment: Deployment) -> bool:
    """Return whether the rule held."""
    loops = [
        asyncio.create_task(_send_requests(deployment, Client(node), path, method))
        for node in deployment.nodes
        for path, method in [("/read/balance", "GET"), ("/post/charge", "POST")]
        for _ in range(CLIENTS_PER_NODE // 2)
    ]
    await asyncio.sleep(STEADY_S)
    if has_trouble():
        value = json.dumps(ENTRY).encode()
        deployment.store.put("servers", "i-of-another-writer", value)
        deployment.record.write("entry_without_address", value=value.decode())
    await asyncio.sleep(TROUBLE_S)
    for loop in loops:
        loop.cancel()
    return _check(deployment)


async def _send_requests(
    deployment: Deployment, client: Client, path: str, method: str
) -> None:
    while True:
        await deployment.request(client, path, method=method, deadline_ms=DEADLINE_MS)
        await asyncio.sleep(PAUSE_S)


def _check(deployment: Deployment) -> bool:
    ended = [attempt for attempt in deployment.attempts if attempt.outcome]
    waited = [(attempt.ended_s - attempt.sent_s, attempt.outcome) for attempt in ended]
    unanswered = [item for item in waited if item[0] > ROUTE_TIMEOUT_S]
    late = [item for item in unanswered if item[0] > ROUTE_TIMEOUT_S + ANSWER_SLACK_S]
    run_ids = {run.attempt_id for run in deployment.runs}
    never_run = sum(
        attempt.outcome == "no answer" and attempt.attempt_id not in run_ids
        for attempt in ended
    )
    summary = (
        f"of {len(ended)} requests {len(unanswered)} were unanswered at the route's "
        f"timeout, {len(late)} of them half a second later; {never_run} requests were "
        f"never answered and never run; outcomes {dict(Counter(o for _, o in waited))}"
        "\n"
    )
    deployment.record.write("result", summary=summary.strip())
    sys.stdout.write(summary)
    return len(late) < MIN_REQUESTS or 2 * len(late) <= len(unanswered)


if __name__ == "__main__":
    run_case(Path(__file__).with_name("record.txt"), case)
