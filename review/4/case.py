"""A server carries out two orders late, after it has left their group.

The rule TWO holds if no server takes a join of another group while the head of its own
group is open.
"""

import asyncio
import json
import sys
from dataclasses import dataclass, field
from pathlib import Path

from common.deployment import ZONES, Deployment, SetupError, has_trouble, run_case
from common.http import Message
from common.servers import ModelServer, Server

STEADY_S = 2.0
DRAIN_S = 3.0
# The late orders have been carried out by then.
LATE_UNTIL_S = 16.0
BETWEEN_SERVERS_S = 4.0
# Until then the first order to join each group and the first one to open it
# get no answer and are carried out later, after newer orders.
TROUBLE_UNTIL_S = 5.0
LATE_S = {"join": 11.0, "open": 11.5}
ACCEPTED = 202
# The server that is first in the order of ids leads the first group of its zone.
LATE_SERVER = f"i-{ZONES[0]}-model-0"


@dataclass(slots=True)
class LateServer(ModelServer):
    """A model server that checks the rule and may carry out orders late."""

    # Operations and groups of the orders that were not answered.
    _unanswered: set[tuple[str, str]] = field(default_factory=set)

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request, or close the connection and act on the order later."""
        SERVERS[self.server_id] = self
        if request.target == "/v1/order":
            order = json.loads(request.body)
            operation = order["operation"]
            key = (operation, order.get("group", ""))
            if (
                self._in_trouble()
                and operation in LATE_S
                and (key not in self._unanswered)
            ):
                self._unanswered.add(key)
                self.record.write("no_answer", server=self.server_id, **order)
                asyncio.get_running_loop().call_later(
                    LATE_S[operation], self._carry_out, order
                )
                # The caller waits in vain.
                await asyncio.sleep(LATE_S[operation])
                return
        await ModelServer.answer(self, request, writer)

    def _in_trouble(self) -> bool:
        is_time = self.record.now_s() < TROUBLE_UNTIL_S
        return has_trouble() and is_time and self.server_id == LATE_SERVER

    def _carry_out(self, order: dict[str, object]) -> None:
        self.record.write("carried_out_late", server=self.server_id)
        status = self.apply_order(order)
        self.record.write("late_order", server=self.server_id, status=status)
        self.write_entry()

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


SERVERS: dict[str, LateServer] = {}
BREAKS: list[str] = []


async def case(deployment: Deployment) -> bool:
    """Return whether the rule held."""
    await asyncio.sleep(STEADY_S)
    member = _find_member()
    await member.drain()
    await asyncio.sleep(DRAIN_S)
    member.stop()
    deployment.servers.remove(member)
    await asyncio.sleep(max(0.0, LATE_UNTIL_S - deployment.record.now_s()))
    # Servers are added, so that more groups can be formed.
    for number in range(4):
        await deployment.add_model_server(f"i-{member.zone}-new-{number}", member.zone)
        await asyncio.sleep(BETWEEN_SERVERS_S)
    summary = f"{len(BREAKS)} breaks of the rule: {BREAKS}\n"
    deployment.record.write("result", summary=summary.strip())
    sys.stdout.write(summary)
    return not BREAKS


def _find_member() -> Server:
    """Return the other member of the group that the late server leads."""
    group = SERVERS[LATE_SERVER].group
    if group is None or group["rank"] or group["state"] != "open":
        raise SetupError(f"{LATE_SERVER} does not lead an open group")
    return SERVERS[group["members"][1]]


if __name__ == "__main__":
    run_case(
        Path(__file__).with_name("record.txt"),
        case,
        model_servers_per_zone=8,
        model_server_type=LateServer,
    )
