"""Plain servers break off streams that have neither a length nor chunks.

The rule MIXED holds if no client gets a success whose body is not the whole body of the
server.
"""

import asyncio
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from common.deployment import MODEL, Client, Deployment, has_trouble, run_case
from common.http import BrokenMessageError, Message
from common.servers import EVENT_INTERVAL_S, Server, stream_events

STEADY_S = 3.0
TROUBLE_S = 5.0
AFTER_TROUBLE_S = 1.0
CLIENTS_PER_NODE = 12
PAUSE_S = 0.02
DEADLINE_MS = 5000
# One of 20 answers is broken off, a share of 0.05, by half of the servers.
BROKEN_PERIOD = 20
# Share of the streams on the plain service, as in the example of a configuration.
PLAIN_PERCENT = 10


@dataclass(slots=True)
class StreamServer(Server):
    """A plain server whose streams end with their connection."""

    in_trouble: bool = False
    _streams: int = 0

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Send the events of a stream; in trouble, stop inside one now and then."""
        attempt_id = request.headers.get("x-attempt-id", "")
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\n"
            f"X-Response-Seal: seal.{attempt_id}\r\n"
            "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode())
        events = stream_events(attempt_id)
        if self._breaks_off():
            events = [*events[:2], events[2][: len(events[2]) // 2]]
            self.record.write("broken_off", server=self.server_id, attempt=attempt_id)
        for event in events:
            await asyncio.sleep(EVENT_INTERVAL_S)
            writer.write(event)
        raise BrokenMessageError("the stream ends with its connection")

    def _breaks_off(self) -> bool:
        if not self.in_trouble:
            return False
        self._streams += 1
        return self._streams % BROKEN_PERIOD == 1


async def case(deployment: Deployment) -> bool:
    """Return whether the rule held."""
    loops = [
        asyncio.create_task(_send_requests(deployment, Client(node)))
        for node in deployment.nodes
        for _ in range(CLIENTS_PER_NODE)
    ]
    await asyncio.sleep(STEADY_S)
    servers = [item for item in deployment.servers if isinstance(item, StreamServer)]
    for server in servers[::2]:
        server.in_trouble = has_trouble()
        deployment.record.write(
            "trouble", server=server.server_id, on=server.in_trouble
        )
    await asyncio.sleep(TROUBLE_S)
    for server in servers:
        server.in_trouble = False
    await asyncio.sleep(AFTER_TROUBLE_S)
    for loop in loops:
        loop.cancel()
    return _check(deployment)


async def _send_requests(deployment: Deployment, client: Client) -> None:
    while True:
        attempt = await deployment.request(
            client,
            "/chat/arrears",
            method="POST",
            deadline_ms=DEADLINE_MS,
            wait_s=DEADLINE_MS / 1000,
            more_headers={
                "X-Model": MODEL,
                "X-Token-Count": "100,40",
                "X-Prompt-Prefix": f"5c1e07a2:80,{deployment.next_part()}:20",
            },
        )
        await asyncio.sleep(1.0 if attempt.outcome == "503" else PAUSE_S)


def _check(deployment: Deployment) -> bool:
    cut = []
    for attempt in deployment.attempts:
        whole = b"".join(stream_events(attempt.attempt_id))
        if attempt.outcome == "200" and attempt.body != whole:
            cut.append(attempt)
            deployment.record.write(
                "rule_broken", attempt=attempt.attempt_id, body=attempt.body
            )
    outcomes = Counter(attempt.outcome for attempt in deployment.attempts)
    summary = (
        f"{len(cut)} successes had a body that was not the server's whole body; the "
        f"last one ended with {cut[-1].body[-24:] if cut else b''!r}; "
        f"outcomes {dict(outcomes)}\n"
    )
    deployment.record.write("result", summary=summary.strip())
    sys.stdout.write(summary)
    return not cut


if __name__ == "__main__":
    run_case(
        Path(__file__).with_name("record.txt"),
        case,
        route_timeout_ms=DEADLINE_MS,
        plain_stream_percent=PLAIN_PERCENT,
        plain_server_type=StreamServer,
    )
