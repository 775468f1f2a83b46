"""A request crashes both servers of a service again and again."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins_2.deployment import (
    ZONES,
    Deployment,
    plain_route,
    run_case,
)
from review.standins_2.http import Message
from review.standins_2.server import Server

STABILITY_WINDOW_S = 3.0
# Some seconds after a crash the server is back, under its id.
BACK_S = 2.0
PERIOD_S = 0.5
LENGTH_S = 14.0
CALM_S = 6.0
CRASHES = 3
ALLOWED_RETRIES = 3
PATH = "/status/crash"


async def async_case(deployment: Deployment, disturb: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    restarts = set()

    async def async_restart(server: Server) -> None:
        deployment.log("crashed", server=server.server_id)
        server.stop()
        server.heartbeat = 0
        await asyncio.sleep(BACK_S)
        await server.async_start()

    async def async_run(
        server: Server, message: Message, writer: asyncio.StreamWriter
    ) -> None:
        if disturb and message.target == PATH:
            restarts.add(asyncio.create_task(async_restart(server)))
            await asyncio.sleep(1)
        await server.async_send_body(message, writer)

    servers = [
        Server(f"i-{number}d9e6b4", "silo-control", zone, deployment.store,
               deployment.log, grouped=False, async_run=async_run)
        for number, zone in enumerate(ZONES[:2], start=1)
    ]  # fmt: skip
    command = plain_route(
        name="fan-command", prefix="/command/", kind="unsafe", attempts=1
    )
    await deployment.async_start(servers, [plain_route(), command])
    await asyncio.sleep(CALM_S)
    calls = []
    until_s = deployment.now_s() + LENGTH_S
    number = 0
    while deployment.now_s() < until_s:
        node = deployment.nodes[number % len(deployment.nodes)]
        calls.append(asyncio.create_task(deployment.async_call(node, "GET", PATH)))
        command_call = deployment.async_call(node, "POST", f"/command/{number}", b"on")
        calls.append(asyncio.create_task(command_call))
        number += 1
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*calls)
    for task in restarts:
        task.cancel()
    lost = [
        line["id"]
        for line in deployment.lines
        if line["event"] == "answered" and line["outcome"] in {"502", "cut"}
    ]
    crashed_s = [
        line["at_s"] for line in deployment.lines if line["event"] == "crashed"
    ]
    deployment.log("crashes", at_s=crashed_s, answers_lost=len(lost))
    if len(crashed_s) < CRASHES:
        return False
    since_s = crashed_s[CRASHES - 1] + STABILITY_WINDOW_S
    late = [
        line["at_s"]
        for line in deployment.lines
        if line["event"] == "run" and PATH in line["line"] and line["at_s"] > since_s
    ]
    deployment.log("retries_that_reached_servers", since_s=since_s, at_s=late)
    return len(late) > ALLOWED_RETRIES


run_case(Path(__file__).with_name("record.txt"), async_case)
