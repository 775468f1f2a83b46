"""Fixtures that run the components of the entry program with fake engines."""

import asyncio
import random
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from hashlib import sha256

import aiohttp
import pytest

from gooseberryhall.config.models import AnyObject, GroupSpec, Team
from gooseberryhall.core.clock import now_s
from gooseberryhall.core.context import Program, ProgramContext
from gooseberryhall.core.runtime import Runtime
from gooseberryhall.core.state import Identity, State
from gooseberryhall.core.timer import TimerService
from gooseberryhall.entry.frontend import Frontend
from gooseberryhall.entry.setup import async_setup
from gooseberryhall.groups.models import Group, GroupPhase, Member
from gooseberryhall.links.messages import Message
from gooseberryhall.membership.models import Evidence, MemberHealth, MemberState
from gooseberryhall.settings.models import NodeSettings
from gooseberryhall.telemetry.ops import OpsState
from gooseberryhall.telemetry.timeline import Timeline

from .engine import FakeEngine

TOKEN = "harvest-token"
LIMIT_S = 10.0


# Below the ports that the system gives to outgoing connections, which may take a port
# between its choice and the start of its listener.
LISTENER_PORTS = range(20_000, 32_000)


def free_port() -> int:
    """Return a port that is currently free and that no connection is given."""
    for port in random.sample(LISTENER_PORTS, len(LISTENER_PORTS)):
        with socket.socket() as sock, suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port
    raise OSError("no free port")


@dataclass
class Cluster:
    """A running entry program and the fake engines behind it."""

    ctx: ProgramContext
    frontend: Frontend
    url: str
    stack: AsyncExitStack
    client: aiohttp.ClientSession
    engines: list[FakeEngine] = field(default_factory=list)
    sent: list[Message] = field(default_factory=list)

    @property
    def port(self) -> int:
        """Return the port for callers."""
        return self.ctx.settings.entry.port

    @property
    def state(self) -> State:
        """Return the state of the program."""
        return self.ctx.runtime.state

    def declare(self, *objects: AnyObject) -> None:
        """Apply configuration objects."""
        for item in objects:
            self.state.config.objects[(item.kind, item.name)] = item
        self.state.config.revision += 1

    async def async_add_engine(self, number: int, zone: str = "obihiro") -> FakeEngine:
        """Start an engine as the only member of a serving group."""
        engine = FakeEngine(
            vm=f"vm-{number}", boot_id=f"boot-{number}", group=f"group-{number}"
        )
        await engine.async_start(self.stack)
        member = Member(engine.vm, engine.boot_id, engine.address)
        self.state.groups.groups[engine.group] = Group(
            group=engine.group,
            spec="assistant",
            zone=zone,
            fabric_domain="fd-1",
            model="grain",
            model_version="1",
            generation=engine.generation,
            phase=GroupPhase.SERVING,
            members=(member,),
        )
        self.engines.append(engine)
        self.record_serving(engine)
        return engine

    def record_serving(self, engine: FakeEngine, age_s: float = 0.0) -> None:
        """Record evidence of the given age that an engine serves."""
        health = MemberHealth(
            vm=engine.vm,
            boot_id=engine.boot_id,
            group=engine.group,
            generation=engine.generation,
            state=MemberState.SERVING,
            leaving=False,
            active=0,
            queued=0,
        )
        evidence = Evidence(engine.vm, health, now_s() - age_s)
        self.state.membership.evidence[engine.vm] = evidence

    def record_unresponsive(self, engine: FakeEngine) -> None:
        """Record evidence that an engine does not respond."""
        evidence = Evidence(engine.vm, None, now_s())
        self.state.membership.evidence[engine.vm] = evidence

    def post(
        self, body: dict[str, object] | bytes, **headers: str
    ) -> "aiohttp.client._RequestContextManager":
        """Send a chat completion request as the team `agronomy`."""
        sent = {"Authorization": f"Bearer {TOKEN}"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"{self.url}/v1/chat/completions"
        if isinstance(body, bytes):
            return self.client.post(url, data=body, headers=sent)
        return self.client.post(url, json=body, headers=sent)


def chat(
    text: str = "How dry is silo 7?", *, stream: bool = False
) -> dict[str, object]:
    """Return the body of a chat completion request."""
    messages = [{"role": "user", "content": text}]
    return {"model": "grain", "messages": messages, "stream": stream}


async def async_until(condition: Callable[[], bool], limit_s: float = LIMIT_S) -> None:
    """Wait until a condition is met; raises TimeoutError."""
    async with asyncio.timeout(limit_s):
        while not condition():  # noqa: ASYNC110 - the state has no events to wait for
            await asyncio.sleep(0.005)


def node_settings(**overrides: float) -> NodeSettings:
    """Return settings with short limits; keyword arguments override them."""
    limits = {
        "balancer_notice_s": 0.0,
        "drain_limit_s": 5.0,
        "first_token_limit_s": 1.0,
        "chunk_limit_s": 0.5,
        "queue_wait_limit_s": 1.0,
    }
    return NodeSettings.model_validate(
        {
            "node": "entry-1",
            "zone": "obihiro",
            "region": "hokkaido",
            "link_secret": "a-secret-for-tests",
            "entry": {"port": free_port(), "ops_port": 1, **limits, **overrides},
            "control": {"port": 2, "ops_port": 3},
            "admin": {"port": 4, "ops_port": 5},
            "platform": {
                "table_address": "http://127.0.0.1:1",
                "objects_address": "http://127.0.0.1:1",
                "weights_address": "http://127.0.0.1:1",
                "vms_address": "http://127.0.0.1:1",
            },
        }
    )


async def async_start_cluster(stack: AsyncExitStack, **overrides: float) -> Cluster:
    """Start the entry program without its ops server."""
    settings = node_settings(**overrides)
    client = await stack.enter_async_context(aiohttp.ClientSession())
    session = await stack.enter_async_context(aiohttp.ClientSession())
    identity = Identity(settings.node, settings.zone, settings.region)
    ctx = ProgramContext(
        program=Program.ENTRY,
        settings=settings,
        runtime=Runtime(State(identity)),
        timer=TimerService(),
        session=session,
        stack=stack,
        ops=OpsState(Timeline()),
        incarnation=f"test-{settings.entry.port}",
    )
    stack.push_async_callback(ctx.async_cancel_tasks)
    ctx.async_create_task(ctx.timer.async_run(), "timer")
    sent: list[Message] = []
    frontend = await async_setup(ctx, sent.append)
    stack.callback(ctx.stopping.set)
    url = f"http://127.0.0.1:{settings.entry.port}"
    cluster = Cluster(ctx, frontend, url, stack, client, sent=sent)
    team = Team(
        name="agronomy",
        labels={"org": "takeshima"},
        token_sha256=(sha256(TOKEN.encode()).hexdigest(),),
    )
    spec = GroupSpec(
        name="assistant",
        model="grain",
        version="1",
        members=1,
        vm_selector="pool=assistant",
        team_selector="org=takeshima",
        kind_selector="!restricted",
    )
    cluster.declare(team, spec)
    return cluster


@pytest.fixture
async def cluster() -> AsyncIterator[Cluster]:
    """Run the entry program with one engine."""
    async with AsyncExitStack() as stack:
        running = await async_start_cluster(stack)
        await running.async_add_engine(1)
        yield running


@pytest.fixture
async def stopping_cluster() -> AsyncIterator[Cluster]:
    """Run the entry program with time between the notice of a stop and its refusals."""
    async with AsyncExitStack() as stack:
        running = await async_start_cluster(stack, balancer_notice_s=0.3)
        await running.async_add_engine(1)
        yield running
