"""The head of a group sheds an order to leave; then its group is dissolved.

The rule TWO holds if no server takes a join of another group while the head of its own
group is open.
"""

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path

from common.deployment import Deployment, SetupError, has_trouble, run_case
from common.http import Message
from common.servers import ModelServer, Server

STEADY_S = 4.0
# The new server has loaded its model by then.
NEW_SERVER_S = 4.0
DRAIN_LIMIT_S = 2.0
AFTER_DRAIN_S = 12.0
ACCEPTED = 202
# The server in trouble sheds the first two of each five orders, a share of 0.4.
ORDERS_PER_CYCLE = 5
SHED_PER_CYCLE = 2


@dataclass(slots=True)
class CheckedServer(ModelServer):
    """A model server that checks the rule and may shed a part of its orders."""

    in_trouble: bool = False
    _orders_seen: int = 0

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request, or shed it."""
        if request.target == "/v1/order" and self.in_trouble:
            self._orders_seen += 1
            if (self._orders_seen - 1) % ORDERS_PER_CYCLE < SHED_PER_CYCLE:
                self.record.write(
                    "order_shed", server=self.server_id, body=request.body.decode()
                )
                shed = {"X-Not-Executed": "1"}
                writer.write(self.response(request, 503, b"", shed))
                return
        await ModelServer.answer(self, request, writer)

    def join(self, order: dict[str, object]) -> int:
        """Apply an order to join, and note a break of the rule."""
        group = self.group
        status = ModelServer.join(self, order)
        if status != ACCEPTED or group is None:
            return status
        if (group["name"], group["epoch"]) == (order["group"], order["epoch"]):
            return status
        head = SERVERS.get(group["members"][0])
        head_group = group if head is self else head.group if head else None
        is_open = head_group is not None and head_group["state"] == "open"
        if is_open and head_group["name"] == group["name"]:
            BREAKS.append(
                f"{self.server_id} joined {order['group']} while {head.server_id}, the "
                f"head of its group {group['name']}, was open"
            )
            self.record.write("rule_broken", text=BREAKS[-1])
        return status


SERVERS: dict[str, CheckedServer] = {}
BREAKS: list[str] = []


async def case(deployment: Deployment) -> bool:
    """Return whether the rule held."""
    await asyncio.sleep(STEADY_S)
    for server in deployment.servers:
        if isinstance(server, CheckedServer):
            SERVERS[server.server_id] = server
    head, member = _find_group()
    deployment.record.write("group", head=head.server_id, member=member.server_id)
    head.in_trouble = has_trouble()
    new = await deployment.add_model_server(f"i-{member.zone}-new", member.zone)
    SERVERS[new.server_id] = new
    await asyncio.sleep(NEW_SERVER_S)
    await member.drain()
    await asyncio.sleep(DRAIN_LIMIT_S + 1.0)
    member.stop()
    deployment.servers.remove(member)
    await asyncio.sleep(AFTER_DRAIN_S)
    summary = f"{len(BREAKS)} breaks of the rule: {BREAKS}\n"
    deployment.record.write("result", summary=summary.strip())
    sys.stdout.write(summary)
    return not BREAKS


def _find_group() -> tuple[CheckedServer, Server]:
    for server in SERVERS.values():
        group = server.group
        if group is not None and group["rank"] == 0 and group["state"] == "open":
            return server, SERVERS[group["members"][-1]]
    raise SetupError("no group is open")


if __name__ == "__main__":
    run_case(
        Path(__file__).parent,
        case,
        model_servers_per_zone=9,
        group_size=3,
        model_server_type=CheckedServer,
    )
