"""Tests of waiting requests with a chooser that counts slots."""

import asyncio
from dataclasses import dataclass, field, replace

from gooseberryhall.admission.const import MAX_WAITING_REQUESTS
from gooseberryhall.admission.decision import WaitEnd
from gooseberryhall.admission.estimate import SlotTimes
from gooseberryhall.fleet.models import BackendServer, Team
from gooseberryhall.gateway.context import RequestContext
from gooseberryhall.gateway.metrics import GatewayMetrics
from gooseberryhall.gateway.models import CallerRequest
from gooseberryhall.gateway.placement import Candidate, Choice, Outlook
from gooseberryhall.gateway.waiting import WaitingRequests
from gooseberryhall.transport.address import Address
from tests.gateway.common import route

SERVER = BackendServer("s1", "plain", Address("127.0.0.1", 1), "z", False, 4)
CANDIDATE = Candidate("s1", 0, 4, True)


@dataclass
class _Slots:
    """One server with free slots, each of which is used once."""

    free: int = 0
    paused_s: float = 0.0
    order: list[bytes] = field(default_factory=list)

    def choose(self, ctx: RequestContext, _: float) -> Choice:
        """Use a slot."""
        if not self.free:
            return Choice()
        self.free -= 1
        self.order.append(ctx.request_id)
        return Choice(CANDIDATE)

    def find_server(self, choice: Choice) -> BackendServer | None:
        """Return the server."""
        return SERVER if choice.candidate else None

    def outlook(self, _: RequestContext, __: float) -> Outlook:
        """Return what to expect."""
        return Outlook(usable=not self.paused_s, wait_s=self.paused_s)

    def expected_times(self, _: RequestContext) -> SlotTimes:
        """Return short times."""
        return SlotTimes(0.5, 0.05)


def _context(name: str, **changes: object) -> RequestContext:
    now_s = asyncio.get_running_loop().time()
    values: dict[str, object] = {
        "request": CallerRequest(b"GET", b"/", [], b"", False, now_s),
        "request_id": name.encode(),
        "route": route(latency_objective_s=0.8),
        "service": "plain",
        "team": None,
        "model": None,
        "fingerprint": name,
        "deadline_s": now_s + 4,
        "objective_s": now_s + 0.8,
    }
    return RequestContext(**{**values, **changes})  # type: ignore[arg-type]


def _late(name: str) -> RequestContext:
    return _context(name, objective_s=0.0)


async def _async_wait_for(
    waiting: WaitingRequests, *contexts: RequestContext
) -> list[asyncio.Task[BackendServer | None]]:
    tasks = [asyncio.create_task(waiting.async_choose(ctx)) for ctx in contexts]
    await asyncio.sleep(0)
    return tasks


async def _async_order(*contexts: RequestContext) -> list[bytes]:
    """Return the order in which waiting requests get slots that become free."""
    slots = _Slots()
    waiting = WaitingRequests(slots, GatewayMetrics())
    tasks = await _async_wait_for(waiting, *contexts)
    slots.free = len(contexts)
    waiting.wake()
    await asyncio.gather(*tasks)
    return slots.order


async def test_request_in_time_goes_first() -> None:
    """Guards against old work that is served before work that could be in time."""
    urgent = replace(_context("c").route, priority=0)
    order = await _async_order(
        _late("a"), _context("b"), _context("c", route=urgent), _late("d")
    )
    assert order == [b"c", b"b", b"a", b"d"]


async def test_teams_share_by_work() -> None:
    """Guards against a team that delays others with many or with large requests."""
    large = [
        _context(f"l{number}", team=Team("large", 1), tokens=(900, 100))
        for number in range(4)
    ]
    small = [
        _context(f"s{number}", team=Team("small", 1), tokens=(200, 50))
        for number in range(8)
    ]
    order = await _async_order(*large, *small)
    assert order[:7].count(b"l0") == 1
    assert sum(1 for name in order[:10] if name.startswith(b"s")) >= 7


async def test_request_that_a_server_rejected_keeps_its_place() -> None:
    """Guards against a request that starts again behind newer ones."""
    order = await _async_order(
        _context("a"), _context("b"), _context("c", rejections=1, sends=1)
    )
    assert order == [b"c", b"a", b"b"]


async def test_request_that_gets_no_slot_is_refused_early() -> None:
    """Guards against a request that is held until its objective or deadline."""
    waiting = WaitingRequests(_Slots(), GatewayMetrics())
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    ctx, late = _context("a"), _late("b")
    late.deadline_s = started_s + 1.0
    assert await asyncio.gather(
        waiting.async_choose(ctx), waiting.async_choose(late)
    ) == [None, None]
    assert 0.08 < ctx.waited_s < 0.2
    assert 0.2 < late.waited_s < 0.35
    assert ctx.wait_end is late.wait_end is WaitEnd.TIMED_OUT


async def test_caller_that_leaves_is_removed() -> None:
    """Guards against a slot that goes to a request nobody waits for."""
    slots = _Slots()
    waiting = WaitingRequests(slots, GatewayMetrics())
    gone, other = await _async_wait_for(waiting, _context("a"), _context("b"))
    gone.cancel()
    await asyncio.sleep(0)
    slots.free = 1
    waiting.wake()
    assert await other is SERVER
    assert slots.order == [b"b"]


async def test_caller_that_leaves_with_a_slot_passes_it_on() -> None:
    """Guards against a request that waits although a slot is free."""
    slots = _Slots()
    waiting = WaitingRequests(slots, GatewayMetrics())
    first, second = await _async_wait_for(waiting, _context("a"), _context("b"))
    slots.free = 1
    waiting.wake()
    await asyncio.sleep(0)
    slots.free = 1
    first.cancel()
    assert await second is SERVER


async def test_stop_refuses_all() -> None:
    """Guards against requests that wait at a node that other nodes could serve."""
    waiting = WaitingRequests(_Slots(), GatewayMetrics())
    contexts = [_context("a"), _late("b")]
    tasks = await _async_wait_for(waiting, *contexts)
    waiting.close()
    assert await asyncio.gather(*tasks) == [None, None]
    later = _context("c")
    assert await waiting.async_choose(later) is None
    assert {ctx.wait_end for ctx in (*contexts, later)} == {WaitEnd.STOPPED}


async def test_request_with_the_least_chance_leaves_a_full_queue() -> None:
    """Guards against memory that grows with the requests of a burst."""
    waiting = WaitingRequests(_Slots(), GatewayMetrics())
    worst = _late("a")
    worst.deadline_s += 60
    contexts = [_context(str(number)) for number in range(MAX_WAITING_REQUESTS - 1)]
    tasks = await _async_wait_for(waiting, worst, *contexts)
    assert not tasks[0].done()
    large = _context("x")
    large.request.body = b"x" * 900_000
    tasks += await _async_wait_for(waiting, large)
    await asyncio.sleep(0)
    assert worst.wait_end is WaitEnd.BOUNDS
    another = _context("y", objective_s=0.0)
    another.request.body = b"x" * 200_000
    assert await waiting.async_choose(another) is None
    assert another.wait_end is WaitEnd.BOUNDS
    waiting.close()
    await asyncio.gather(*tasks)


async def test_unservable_request_is_refused_at_once() -> None:
    """Guards against holding a request that no server can take in time."""
    waiting = WaitingRequests(_Slots(paused_s=2.0), GatewayMetrics())
    ctx = _context("a")
    assert await waiting.async_choose(ctx) is None
    assert (ctx.wait_end, ctx.waited_s) == (WaitEnd.UNSERVABLE, 0.0)
    waiting = WaitingRequests(_Slots(), GatewayMetrics())
    ctx = _context("a", deadline_s=asyncio.get_running_loop().time() + 0.04)
    assert await waiting.async_choose(ctx) is None
    assert (ctx.wait_end, ctx.waited_s) == (WaitEnd.TOO_LONG, 0.0)
