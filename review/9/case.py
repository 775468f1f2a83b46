"""Machines that the store turned away once list a server that has left."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins_2.deployment import (
    ZONES,
    Deployment,
    Node,
    NotRunError,
    plain_route,
    run_case,
)
from review.standins_2.server import Server

ZONE = ZONES[0]
DRAIN_TIMEOUT_S = 2.0
CALM_S = 6.0
OUTAGE_S = 4.0
# The server leaves so long before the kill, and serves on for many seconds.
GONE_BEFORE_S = 4.0
LATE_S = 3.5
PERIOD_S = 0.1
WORK_S = 0.3


def find_owner(deployment: Deployment) -> Node:
    """Return the owner of the zone, which last wrote to the store for it."""
    for (_, _, key), (value, _) in deployment.store.rows.items():
        if key == ZONE and value is not None:
            owner = json.loads(value)["owner"]
            return next(node for node in deployment.nodes if node.name == owner)
    raise NotRunError("the zone has no owner")


async def async_case(deployment: Deployment, disturb: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    deployment.node_zones = (ZONE, ZONE, ZONE, ZONES[1], *ZONES[1:])
    servers = [
        Server(
            f"i-{number}d9e6b4",
            "silo-control",
            zone,
            deployment.store,
            deployment.log,
            grouped=False,
            work_s=WORK_S,
        )
        for number, zone in enumerate((ZONE, *ZONES, *ZONES[1:] * 2), start=1)
    ]
    command = plain_route(
        name="fan-command", prefix="/command/", kind="unsafe", attempts=1
    )
    await deployment.async_start(servers, [plain_route(), command])
    await asyncio.sleep(CALM_S)
    away: list[str] = []
    if disturb:
        # The store turns the owner of the zone and another one of its machines away.
        owner = find_owner(deployment)
        same = [node for node in deployment.nodes[:3] if node is not owner]
        away = [owner.name, same[0].name]
        deployment.store.turned_away.update(away)
        deployment.log("store_turns_away", nodes=away)
        await asyncio.sleep(OUTAGE_S)
        deployment.store.turned_away.clear()
        deployment.log("store_serves_all")
    await asyncio.sleep(2 * CALM_S)
    server = servers[0]
    server.leave_unannounced()
    gone_s = deployment.now_s()
    await asyncio.sleep(GONE_BEFORE_S)
    owner = find_owner(deployment)
    others = [node for node in deployment.nodes if node is not owner]
    if disturb:
        deployment.log("killed", node=owner.name)
        owner.kill()
    calls = []
    until_s = deployment.now_s() + LATE_S
    number = 0
    while deployment.now_s() < until_s:
        for node in others:
            number += 1
            call = deployment.async_call(node, "POST", f"/command/{number}", b"on")
            calls.append(asyncio.create_task(call))
        await asyncio.sleep(PERIOD_S)
    outcomes = {call[0]: call[1] for call in await asyncio.gather(*calls)}
    found = [
        (line["id"], outcomes[line["id"]], round(line["at_s"] - gone_s, 2))
        for line in deployment.lines
        if line["event"] == "run"
        and line["id"] in outcomes
        and line["server"] == server.server_id
    ]
    deployment.log("run_by_a_server_that_is_gone", requests=found)
    return bool(found)


run_case(Path(__file__).with_name("record.txt"), async_case)
