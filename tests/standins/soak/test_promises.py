"""Tests that the soak detects each kind of broken promise."""

import asyncio
import os
import random
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from standins.soak.callers import Attempt, Callers, RequestKind
from standins.soak.const import (
    COLD_LIMIT,
    DRAIN_LIMIT_S,
    EVACUATION_LIMIT_S,
    KEY,
    MAX_ARRIVALS_IN_PAUSE,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    ROUTE_TIMEOUT_S,
    TEAM,
)
from standins.soak.crowd import async_check_crowd
from standins.soak.environment import (
    Environment,
    SoakNode,
    read_peak_memory_mb,
    read_run_delay_s,
)
from standins.soak.evacuation import async_check_used, set_evacuated
from standins.soak.faults import INJECTORS, Fault, plan_faults
from standins.soak.http import Message
from standins.soak.records import Promise, Records
from standins.soak.run import (
    async_check_crashing_prompts,
    async_check_lapses,
    async_check_slow_groups,
    async_check_stops,
    async_wait_serving,
)
from standins.soak.server import Membership, Server

HEADERS = {"x-attempt-id": "a1", "x-tenant": TEAM}
NODE = cast("SoakNode", SimpleNamespace(name="node-1"))


@pytest.fixture
async def records() -> Records:
    """Return empty records that start now."""
    return Records()


def _server(records: Records, service: str = PLAIN_SERVICE, **changes: Any) -> Server:
    servers = changes.pop("servers", {})
    return Server("i-1", service, "z1", records, servers, **changes)


def _promises(records: Records) -> list[Promise]:
    return [item.promise for item in records.violations]


async def test_command_that_runs_twice_is_found(records: Records) -> None:
    """Guards against missed repeated commands, and reports of repeated reads."""
    records.record_run("a1", "i-1", command=False)
    records.record_run("a1", "i-2", command=False)
    assert _promises(records) == []
    records.record_run("a2", "i-1", command=True)
    records.record_run("a2", "i-2", command=True)
    assert _promises(records) == [Promise.AT_MOST_ONCE]


async def test_refused_request_that_ran_is_found(records: Records) -> None:
    """Guards against a missed run of a request that was refused as not run."""
    records.not_run = {"a1": 503, "a2": 503}
    records.record_run("a2", "i-1", command=True)
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
    """Guards against a wrong team or a caller's key that reaches a server unnoticed."""
    _server(records)._check_request(Message("GET /read/1 HTTP/1.1", headers))
    assert _promises(records) == [promise]


@pytest.mark.parametrize(
    ("check", "promise"),
    [
        (Server._check_request, Promise.DRAIN),
        (Server._check_arrival, Promise.EVACUATION),
    ],
)
async def test_late_request_at_a_leaving_or_evacuated_server_is_found(
    records: Records, check: Callable[..., None], promise: Promise
) -> None:
    """Guards against missed late requests, and against reports for disturbed nodes."""
    request = Message("GET /read/1 HTTP/1.1", HEADERS)
    records.node_by_attempt["a1"] = NODE.name
    server = _server(records, leaving_s=records.now_s() - DRAIN_LIMIT_S - 1)
    records.evacuated_s["z1"] = records.now_s() - EVACUATION_LIMIT_S - 1
    records.mark_disturbed(NODE.name)
    check(server, request)
    assert _promises(records) == []
    records.disturbed_until_s.clear()
    check(server, request)
    assert _promises(records) == [promise]


async def test_ignored_statements_of_a_server_are_found(records: Records) -> None:
    """Guards against missing requests after a server spoke of itself in an answer."""
    request = Message("GET /read/1 HTTP/1.1", HEADERS)
    records.node_by_attempt["a1"] = NODE.name
    records.started_s -= 2 * DRAIN_LIMIT_S
    now_s = records.now_s()
    records.begun_s["a1"] = now_s
    server = _server(records)
    server.told_leaving_s[NODE.name] = now_s - DRAIN_LIMIT_S - 0.5
    records.mark_disturbed(NODE.name)
    server._check_statements(request)
    assert _promises(records) == []
    records.disturbed_until_s.clear()
    server._check_statements(request)
    assert _promises(records) == [Promise.DRAIN]
    server.told_leaving_s.clear()
    server.told_pause_s[NODE.name] = (now_s - 1.0, now_s + 1.0)
    for _ in range(MAX_ARRIVALS_IN_PAUSE):
        server._check_statements(request)
    assert _promises(records) == [Promise.DRAIN]
    server._check_statements(request)
    assert _promises(records) == [Promise.DRAIN, Promise.PAUSE]


async def test_partial_group_and_second_group_are_found(records: Records) -> None:
    """Guards against missing a group with an unready member or a server in two."""
    current = Membership("g1", 1, ["i-1", "i-2"], "open")
    servers: dict[str, Server] = {}
    leader = _server(records, MODEL_SERVICE, servers=servers, membership=current)
    member = Server("i-2", MODEL_SERVICE, "z1", records, servers, membership=current)
    servers.update({"i-1": leader, "i-2": member})
    leader.ready_groups.add(current.key)
    leader._check_members(current)
    assert _promises(records) == [Promise.WHOLE_GROUP]
    member._join({"group": "g2", "epoch": 2, "members": ["i-2"], "model": "m"})
    assert _promises(records)[1:] == [Promise.ONE_GROUP]
    for server in servers.values():
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
async def test_responses_are_checked(
    records: Records, outcome: str, path: str, age_s: float, expected: list[Promise]
) -> None:
    """Guards against missed rejections and late responses of undisturbed nodes."""
    async with AsyncExitStack() as stack:
        env = Environment(Path(), records, stack)
        now_s = records.now_s()
        env.added_at_s["/new-1/"] = now_s - age_s
        started_s = now_s - age_s if path == "/read/1" else now_s
        attempt = Attempt("a1", NODE, RequestKind.READ, path)
        Callers(env)._check_outcome(attempt, outcome, started_s)
    assert _promises(records) == expected


async def test_wrong_body_is_found(records: Records) -> None:
    """Guards against a missed response that belongs to another caller."""

    def serve(body: bytes) -> Callable[..., None]:
        def respond(_reader: Any, writer: asyncio.StreamWriter) -> None:
            head = (
                f"HTTP/1.1 200 X\r\nx-response-seal: s\r\ncontent-length: {len(body)}"
            )
            writer.write(head.encode() + b"\r\n\r\n" + body)

        return respond

    async with AsyncExitStack() as stack:
        callers = Callers(Environment(Path(), records, stack))
        for body, expected in (
            (b"/read/1 a1", []),
            (b"/read/1 a2", [Promise.OWN_RESPONSE]),
        ):
            host = f"127.9.{random.randint(1, 254)}.{random.randint(1, 254)}"
            listener = await asyncio.start_server(serve(body), host, 8227)
            node = cast("SoakNode", SimpleNamespace(name="node-1", host=host))
            await callers._async_send(Attempt("a1", node, RequestKind.READ, "/read/1"))
            listener.close()
            assert _promises(records) == expected


class FakeNode:
    """Fake node whose readiness the test sets."""

    name = "node-1"

    def __init__(self, *, ready: bool = True) -> None:
        """Create a running node."""
        self.ready = ready
        self.process = self
        self.is_running = True
        self.starts = 0

    def terminate(self) -> None:
        """Stop at once."""
        self.is_running = False

    def kill(self) -> None:
        """Do nothing; the program has already stopped."""

    def start(self) -> None:
        """Count a start."""
        self.starts += 1

    async def async_is_ready(self) -> bool:
        """Return the readiness that the test set."""
        return self.ready


class FakeCallers:
    """Fake callers that all report the same outcome."""

    def __init__(self, outcome: str) -> None:
        """Set the outcome."""
        self.outcome = outcome

    async def async_call(self, *_: Any, **__: Any) -> str:
        """Return the outcome."""
        return self.outcome

    async def async_run(self) -> None:
        """Send nothing, until cancelled."""
        await asyncio.sleep(60)


@pytest.mark.parametrize(
    ("outcome", "expected"), [("200", []), ("cut: reset", [Promise.PLANNED_STOP])]
)
async def test_request_that_a_planned_stop_cuts_is_found(
    records: Records, outcome: str, expected: list[Promise]
) -> None:
    """Guards against a missed cut of a request that the node read before its stop."""
    async with AsyncExitStack() as stack:
        env = Environment(Path(), records, stack)
        env.nodes = [cast("SoakNode", FakeNode())]
        callers = cast("Callers", FakeCallers(outcome))
        await INJECTORS["stop"](env, callers, Fault("stop", 0.0, 1.0, 0.0))
    assert _promises(records) == expected


class FakeLoad(FakeCallers):
    """Fake callers of which one loses its answer."""

    def __init__(self, env: Environment) -> None:
        """Create callers whose outcomes are counted in an environment."""
        super().__init__("200")
        self.env = env

    async def async_run(self) -> None:
        """Count one answer that was cut."""
        self.env.records.outcomes["chat cut: reset"] += 1
        await asyncio.sleep(60)


@pytest.mark.parametrize(
    ("check", "cut", "expected"),
    [
        (async_check_stops, False, []),
        (async_check_stops, True, [Promise.SLOW_GROUP]),
        (async_check_lapses, False, []),
        (async_check_lapses, True, [Promise.LAPSE]),
    ],
)
async def test_answer_cut_beside_pauses_or_lapses_is_found(
    records: Records, check: Callable[..., Any], *, cut: bool, expected: list[Promise]
) -> None:
    """Guards against a missed cut at a node that does not stop."""
    # Times are checked only if nothing was late for a while.
    records.started_s -= 20
    async with AsyncExitStack() as stack:
        env = Environment(Path(), records, stack)
        env.nodes = [cast("SoakNode", FakeNode())]
        fake = FakeLoad(env) if cut else FakeCallers("200")
        await check(env, cast("Callers", fake))
    assert _promises(records) == expected


@pytest.mark.parametrize(
    ("ready", "outcome", "expected"),
    [(True, "200", True), (True, "503", False), (False, "200", False)],
)
async def test_node_that_does_not_recover_is_found(
    records: Records, *, ready: bool, outcome: str, expected: bool
) -> None:
    """Guards against a recovery check that passes an unready or refusing node."""
    async with AsyncExitStack() as stack:
        env = Environment(Path(), records, stack)
        env.nodes = [cast("SoakNode", FakeNode(ready=ready))]
        callers = cast("Callers", FakeCallers(outcome))
        assert await async_wait_serving(env, callers, 0.3) is expected


@pytest.mark.parametrize(
    ("outcome", "expected"), [("200", []), ("cut: reset", [Promise.SLOW_GROUP])]
)
async def test_stream_that_is_cut_for_a_slow_group_is_found(
    records: Records, outcome: str, expected: list[Promise]
) -> None:
    """Guards against missed cuts by nodes that take a slow group for broken (LOST)."""
    async with AsyncExitStack() as stack:
        env = Environment(Path(), records, stack)
        env.nodes = [cast("SoakNode", FakeNode())]
        await async_check_slow_groups(env, cast("Callers", FakeCallers(outcome)))
    assert _promises(records) == expected


@pytest.mark.parametrize(
    ("crashes", "outcome", "expected"),
    [
        (8, "200", []),
        (9, "200", [Promise.PROMPT_CRASHES]),
        (3, "503", [Promise.SOUND_PROMPTS]),
    ],
)
async def test_prompts_that_crash_servers_are_found(
    records: Records, crashes: int, outcome: str, expected: list[Promise]
) -> None:
    """Guards against missed series of crashes, and missed refusals beside them."""
    records.prompt_crashes = crashes
    async with AsyncExitStack() as stack:
        env = Environment(Path(), records, stack)
        env.nodes = [cast("SoakNode", FakeNode())]
        await async_check_crashing_prompts(env, cast("Callers", FakeCallers(outcome)))
    assert _promises(records) == expected


async def test_restored_zone_without_requests_is_found(records: Records) -> None:
    """Guards against zones whose servers get no requests after a restoration."""
    async with AsyncExitStack() as stack:
        env = Environment(Path(), records, stack)
        server = _server(records)
        for active, service, expected in (
            (True, PLAIN_SERVICE, []),
            (False, PLAIN_SERVICE, [Promise.ZONE_RESTORED]),
            (False, MODEL_SERVICE, [Promise.ZONE_RESTORED]),
        ):
            set_evacuated(env, "z1", active=active)
            for server.service in {PLAIN_SERVICE, service}:
                server._check_arrival(Message("GET /read/1 HTTP/1.1", HEADERS))
            await async_check_used(env, ["z1"], 0.1)
            assert _promises(records) == expected


@pytest.mark.parametrize(("cold_s", "expected"), [(-1, []), (1, [Promise.COLD])])
async def test_many_requests_at_a_cold_server_are_found(
    records: Records, cold_s: float, expected: list[Promise]
) -> None:
    """Guards against missed load of cold servers, and reports of warm ones."""
    server = _server(records, cold_until_s=records.now_s() + cold_s)
    for _ in range(int(COLD_LIMIT) + 1):
        assert _promises(records) == []
        server._check_arrival(Message("GET /read/1 HTTP/1.1", HEADERS))
    assert _promises(records) == expected


@pytest.mark.parametrize(
    ("code", "outcome", "expected"),
    [(None, "200", 0), (0, "503", 0), (None, "503", 1), (-9, "200", 1)],
)
async def test_node_that_a_crowd_overloads_is_found(
    records: Records, code: int | None, outcome: str, expected: int
) -> None:
    """Guards against a missed end of a node, and against missing answers."""
    records.started_s -= 20
    node: Any = FakeNode()
    node.host, node.popen = "127.9.0.1", SimpleNamespace(poll=lambda: code)
    async with AsyncExitStack() as stack:
        env = Environment(Path(), records, stack)
        callers = cast("Callers", FakeCallers(outcome))
        await async_check_crowd(env, callers, node, 0.5 - ROUTE_TIMEOUT_S)
    assert _promises(records) == [Promise.CROWD] * expected


async def test_node_beyond_its_memory_is_found(records: Records) -> None:
    """Guards against missed memory of a node, and against an unread file."""
    peak_mb = read_peak_memory_mb(os.getpid())
    for limit_mb, expected in ((peak_mb, []), (peak_mb - 1, [Promise.MEMORY])):
        records.outcomes.clear()
        records.record_peak("memory", peak_mb, limit_mb, Promise.MEMORY)
        assert _promises(records) == expected


def test_time_without_processor_is_measured() -> None:
    """Guards against time checks that never notice that the machine is too busy."""
    assert read_run_delay_s(os.getpid()) > 0


def test_seed_determines_the_faults() -> None:
    """Guards against a failed seed that cannot be reproduced."""
    plans = [plan_faults(random.Random(7), 30.0) for _ in range(2)]
    assert plans[0] == plans[1]
    assert len({fault.kind for fault in plans[0]}) > 10
