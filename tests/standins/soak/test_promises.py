"""Tests that each promise of the soak is found broken when it is."""

import asyncio
import os
import random
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from standins.soak.callers import Attempt, Callers, Kind
from standins.soak.const import (
    DRAIN_LIMIT_S,
    KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    ROUTE_TIMEOUT_S,
    TENANT,
)
from standins.soak.faults import INJECTORS, Fault, plan_faults
from standins.soak.http import Message
from standins.soak.records import Promise, Records
from standins.soak.run import async_check_slow_groups, async_wait_serving
from standins.soak.server import Membership, Server
from standins.soak.world import SoakNode, World, read_run_delay_s

HEADERS = {"x-attempt-id": "a1", "x-tenant": TENANT}
NODE = cast("SoakNode", SimpleNamespace(name="node-1"))


@pytest.fixture
async def records() -> Records:
    """Return records that start now."""
    return Records()


def _server(records: Records, service: str = PLAIN_SERVICE, **changes: Any) -> Server:
    fleet = changes.pop("fleet", {})
    return Server("i-1", service, "z1", records, fleet, **changes)


def _promises(records: Records) -> list[Promise]:
    return [item.promise for item in records.violations]


async def test_command_that_runs_twice_is_found(records: Records) -> None:
    """Only commands may not run again."""
    records.note_run("a1", "i-1", command=False)
    records.note_run("a1", "i-2", command=False)
    assert _promises(records) == []
    records.note_run("a2", "i-1", command=True)
    records.note_run("a2", "i-2", command=True)
    assert _promises(records) == [Promise.AT_MOST_ONCE]


async def test_refused_request_that_ran_is_found(records: Records) -> None:
    """The answer came first and the run later, or the other way round."""
    records.not_run = {"a1": 503, "a2": 503}
    records.note_run("a2", "i-1", command=True)
    records.check_not_run()
    assert _promises(records) == [Promise.NOT_RUN]


@pytest.mark.parametrize(
    ("headers", "promise"),
    [
        ({**HEADERS, "x-tenant": "t2"}, Promise.TEAM),
        ({**HEADERS, "authorization": f"Token {KEY}"}, Promise.TEAM),
    ],
)
async def test_wrong_team_and_key_are_found(
    records: Records, headers: dict[str, str], promise: Promise
) -> None:
    """A server must see the team's name only."""
    _server(records)._check_request(Message("GET /read/1 HTTP/1.1", headers))
    assert _promises(records) == [promise]


async def test_late_request_at_a_leaving_server_is_found(records: Records) -> None:
    """It counts for nodes that were not disturbed."""
    request = Message("GET /read/1 HTTP/1.1", HEADERS)
    records.sent_to["a1"] = NODE.name
    server = _server(records, leaving_s=records.now_s() - DRAIN_LIMIT_S - 1)
    records.disturb(NODE.name)
    server._check_request(request)
    assert _promises(records) == []
    records.disturbed_s.clear()
    server._check_request(request)
    assert _promises(records) == [Promise.DRAIN]


async def test_partial_group_and_second_group_are_found(records: Records) -> None:
    """A head serves with a member that never was ready; the member joins another."""
    held = Membership("g1", 1, ["i-1", "i-2"], "open")
    fleet: dict[str, Server] = {}
    head = _server(records, MODEL_SERVICE, fleet=fleet, membership=held)
    member = Server("i-2", MODEL_SERVICE, "z1", records, fleet, membership=held)
    fleet.update({"i-1": head, "i-2": member})
    head.was_ready.add(held.key)
    head._check_members(held)
    assert _promises(records) == [Promise.WHOLE_GROUP]
    member._join({"group": "g2", "epoch": 2, "members": ["i-2"], "model": "m"})
    assert _promises(records)[1:] == [Promise.ONE_GROUP]
    for server in fleet.values():
        await server.async_stop()


@pytest.mark.parametrize(
    ("outcome", "path", "age_s", "expected"),
    [
        ("404", "/read/1", 0.0, [Promise.ALLOWED]),
        ("404", "/new-1/1", 1.0, []),
        ("404", "/new-1/1", 9.0, [Promise.CONFIG]),
        ("200", "/read/1", 0.0, []),
        ("no answer", "/read/1", ROUTE_TIMEOUT_S + 1, [Promise.IN_TIME]),
    ],
)
async def test_answers_are_judged(
    records: Records, outcome: str, path: str, age_s: float, expected: list[Promise]
) -> None:
    """Rejections and late answers of nodes that were not disturbed are found."""
    async with AsyncExitStack() as stack:
        world = World(Path(), records, stack)
        now_s = records.now_s()
        world.added["/new-1/"] = now_s - age_s
        started_s = now_s - age_s if path == "/read/1" else now_s
        attempt = Attempt("a1", NODE, Kind.READ, path)
        Callers(world)._check_outcome(attempt, outcome, started_s)
    assert _promises(records) == expected


async def test_wrong_body_is_found(records: Records) -> None:
    """A caller must not get another caller's answer."""

    def serve(body: bytes) -> Callable[..., None]:
        def answer(_reader: Any, writer: asyncio.StreamWriter) -> None:
            head = (
                f"HTTP/1.1 200 X\r\nx-response-seal: s\r\ncontent-length: {len(body)}"
            )
            writer.write(head.encode() + b"\r\n\r\n" + body)

        return answer

    async with AsyncExitStack() as stack:
        callers = Callers(World(Path(), records, stack))
        for body, expected in (
            (b"/read/1 a1", []),
            (b"/read/1 a2", [Promise.OWN_ANSWER]),
        ):
            host = f"127.9.{random.randint(1, 254)}.{random.randint(1, 254)}"
            listener = await asyncio.start_server(serve(body), host, 8227)
            node = cast("SoakNode", SimpleNamespace(name="node-1", host=host))
            await callers._async_send(Attempt("a1", node, Kind.READ, "/read/1"))
            listener.close()
            assert _promises(records) == expected


class FakeNode:
    """A node whose program does what the test says."""

    name = "node-1"

    def __init__(self, *, ready: bool = True) -> None:
        """Create a node that runs."""
        self.ready = ready
        self.process = self
        self.is_running = True
        self.starts = 0

    def terminate(self) -> None:
        """End at once."""
        self.is_running = False

    def kill(self) -> None:
        """Do nothing; the program has ended."""

    def start(self) -> None:
        """Count a start."""
        self.starts += 1

    async def async_is_ready(self) -> bool:
        """Return what the test says."""
        return self.ready


class FakeCallers:
    """Callers that all see the same outcome."""

    def __init__(self, outcome: str) -> None:
        """Keep the outcome."""
        self.outcome = outcome

    async def async_call(self, *_: Any) -> str:
        """Return the outcome."""
        return self.outcome


@pytest.mark.parametrize(
    ("outcome", "expected"), [("200", []), ("cut: reset", [Promise.PLANNED_STOP])]
)
async def test_request_that_a_planned_stop_cuts_is_found(
    records: Records, outcome: str, expected: list[Promise]
) -> None:
    """The node has read the request before it was told to stop."""
    async with AsyncExitStack() as stack:
        world = World(Path(), records, stack)
        world.nodes = [cast("SoakNode", FakeNode())]
        callers = cast("Callers", FakeCallers(outcome))
        await INJECTORS["stop"](world, callers, Fault("stop", 0.0, 1.0, 0.0))
    assert _promises(records) == expected


@pytest.mark.parametrize(
    ("ready", "outcome", "expected"),
    [(True, "200", True), (True, "503", False), (False, "200", False)],
)
async def test_node_that_does_not_recover_is_found(
    records: Records, *, ready: bool, outcome: str, expected: bool
) -> None:
    """It must be ready and serve every kind of request."""
    async with AsyncExitStack() as stack:
        world = World(Path(), records, stack)
        world.nodes = [cast("SoakNode", FakeNode(ready=ready))]
        callers = cast("Callers", FakeCallers(outcome))
        assert await async_wait_serving(world, callers, 0.3) is expected


@pytest.mark.parametrize(
    ("outcome", "expected"), [("200", []), ("cut: reset", [Promise.SLOW_GROUP])]
)
async def test_stream_that_is_cut_for_a_slow_group_is_found(
    records: Records, outcome: str, expected: list[Promise]
) -> None:
    """Guards against nodes that take a slow group for a broken one (LOST)."""
    async with AsyncExitStack() as stack:
        world = World(Path(), records, stack)
        world.nodes = [cast("SoakNode", FakeNode())]
        await async_check_slow_groups(world, cast("Callers", FakeCallers(outcome)))
    assert _promises(records) == expected


def test_time_without_a_processor_is_read() -> None:
    """Guards against a judge that never sees that the machine is too busy."""
    assert read_run_delay_s(os.getpid()) > 0


def test_a_seed_gives_the_same_faults() -> None:
    """A failed seed must be playable again."""
    plans = [plan_faults(random.Random(7), 30.0) for _ in range(2)]
    assert plans[0] == plans[1]
    assert len({fault.kind for fault in plans[0]}) > 10
