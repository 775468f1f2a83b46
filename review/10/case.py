"""Model servers run streams and lose the answers; requests run on too many servers."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins_2.deployment import (
    ZONES,
    Deployment,
    run_case,
    stream_route,
)
from review.standins_2.http import Message
from review.standins_2.server import Server

# Doses of `answer_lost` in a standard day of the site.
SERVERS_SHARE = 0.6
ANSWERS_SHARE = 0.4
LENGTH_S = 4.0
ATTEMPTS = 2
SERVERS_PER_ZONE = 5
CALLERS = 18
# Callers go on for some time after the disruption.
CALM_S = 1.0
# A few requests may do so.
ALLOWED = 3


async def async_lose_answer(
    server: Server, message: Message, writer: asyncio.StreamWriter
) -> None:
    """Run the request; reset the connection instead of the answer, now and then."""
    if random.random() >= ANSWERS_SHARE:
        await server.async_send_events(message, writer)
        return
    await asyncio.sleep(server.events * server.event_gap_s)
    server.log("answer_lost", server=server.server_id, id=message.get("x-attempt-id"))
    writer.transport.abort()


async def async_case(deployment: Deployment, disturb: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    servers = [
        Server(f"i-{zone[:2]}{number}02d9e6", "assistant-llm", zone, deployment.store,
               deployment.log, events=5, event_gap_s=0.02)
        for zone in ZONES
        for number in range(SERVERS_PER_ZONE)
    ]  # fmt: skip
    await deployment.async_start(servers, [stream_route(attempts=ATTEMPTS)])
    await asyncio.sleep(5.0)
    ids = []
    until_s = deployment.now_s() + LENGTH_S

    async def async_call_often(number: int) -> None:
        node = deployment.nodes[number % len(deployment.nodes)]
        while deployment.now_s() < until_s + CALM_S:
            path = f"/explain/{number}-{len(ids)}"
            attempt_id, _, _ = await deployment.async_call(node, "POST", path, b"x")
            ids.append(attempt_id)

    count = round(SERVERS_SHARE * len(servers)) if disturb else 0
    chosen = random.sample(servers, count)
    for server in chosen:
        server.async_run = async_lose_answer
    calls = [asyncio.create_task(async_call_often(number)) for number in range(CALLERS)]
    await asyncio.sleep(LENGTH_S)
    for server in chosen:
        server.async_run = None
    await asyncio.gather(*calls)
    ran_on: dict[str, set[str]] = {attempt_id: set() for attempt_id in ids}
    for line in deployment.lines:
        if line["event"] == "run":
            ran_on[line["id"]].add(line["server"])
    # No server has ended or was cut off.
    found = {key: sorted(ran) for key, ran in ran_on.items() if len(ran) > ATTEMPTS}
    deployment.log("ran_on_too_many", count=len(found), of=len(ids), requests=found)
    return len(found) > ALLOWED


run_case(Path(__file__).with_name("record.txt"), async_case)
