"""Tests of open links: bad frames, silence and the dating of evidence."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import cbor2
import pytest

from gooseberryhall.const import EVIDENCE_MAX_AGE_S
from gooseberryhall.core.clock import now_s
from gooseberryhall.links import link as link_module
from gooseberryhall.links.client import async_maintain, async_open
from gooseberryhall.links.const import (
    CONNECT_TIMEOUT_S,
    MAX_FRAME_BYTES,
    SILENCE_LIMIT_S,
)
from gooseberryhall.links.exceptions import SendQueueFullError
from gooseberryhall.links.link import LinkHandlers
from gooseberryhall.links.messages import EvidenceDigest, GroupView, MemberReport
from gooseberryhall.links.metrics import FRAMES_REFUSED

from .common import Recorded, identity, recorder, serving, until

# The silence limit, one ping period and the closing handshake.
NOTICE_LIMIT_S = SILENCE_LIMIT_S + 1.0
CLOSE_LIMIT_S = 2.0


@asynccontextmanager
async def running(
    address: str, handlers: LinkHandlers, node: str = "b"
) -> AsyncIterator[None]:
    """Keep a link open as another node."""
    task = asyncio.create_task(async_maintain([address], identity(node), handlers))
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@pytest.mark.parametrize(
    ("frame", "code"),
    [
        (cbor2.dumps({"type": "ping", "n": "many"}), "malformed_frame"),
        (cbor2.dumps({"type": "unknown"}), "malformed_frame"),
        (cbor2.dumps({"type": "ping", "n": 1, "extra": 1}), "malformed_frame"),
        (b"\x9f" * 5000, "malformed_frame"),
        (b"\x00" * (MAX_FRAME_BYTES + 1), "oversized_frame"),
    ],
)
async def test_bad_frame_closes_only_its_link(frame: bytes, code: str) -> None:
    """A faulty peer must lose its link without stopping this process."""
    served, handlers = recorder()
    dialled, dial_handlers = recorder()
    before = FRAMES_REFUSED.values.get({"error": code}, 0)
    async with serving(handlers) as address, running(address, dial_handlers):
        await until(lambda: bool(dialled.links and served.links), CLOSE_LIMIT_S)
        dialled.links[0].async_send_frame(frame)
        await until(lambda: ("close", "b") in served.seen, CLOSE_LIMIT_S)
        assert served.links[0].error is not None
        assert served.links[0].error.code == code
        # The link is opened again.
        await until(lambda: served.seen.count(("open", "b")) > 1, 5)
    assert FRAMES_REFUSED.values.get({"error": code}, 0) == before + 1


async def relay(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, thawed: asyncio.Event
) -> None:
    """Copy bytes while the connection is not frozen."""
    while data := await reader.read(65536):
        await thawed.wait()
        writer.write(data)
        await writer.drain()
    writer.close()


@asynccontextmanager
async def freezable(address: str, thawed: asyncio.Event) -> AsyncIterator[str]:
    """Relay connections to an address; they stay open but carry nothing when frozen."""
    host, port = address.removeprefix("ws://").split(":")
    tasks: set[asyncio.Task[None]] = set()

    async def async_handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        up_reader, up_writer = await asyncio.open_connection(host, int(port))
        tasks.add(asyncio.create_task(relay(up_reader, writer, thawed)))
        tasks.add(asyncio.create_task(relay(reader, up_writer, thawed)))

    server = await asyncio.start_server(async_handle, "127.0.0.1", 0)
    async with server:
        yield f"ws://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        for task in tasks:
            task.cancel()
        server.close()


async def test_frozen_link_is_closed() -> None:
    """A connection that goes silent without a reset must be noticed on both ends."""
    served, handlers = recorder()
    dialled, dial_handlers = recorder()
    thawed = asyncio.Event()
    thawed.set()
    async with (
        serving(handlers) as address,
        freezable(address, thawed) as via,
        running(via, dial_handlers),
    ):
        await until(lambda: bool(dialled.links and served.links), CLOSE_LIMIT_S)
        frozen_at_s = now_s()
        thawed.clear()
        await until(
            lambda: ("close", "a") in dialled.seen and ("close", "b") in served.seen,
            NOTICE_LIMIT_S,
        )
        assert now_s() - frozen_at_s >= SILENCE_LIMIT_S / 2


def latest_digest(recorded: Recorded) -> EvidenceDigest | None:
    """Return the newest digest that arrived."""
    digests = [item for item in recorded.messages if isinstance(item, EvidenceDigest)]
    return digests[-1] if digests else None


async def test_late_digest_does_not_look_fresh(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A digest held up by a frozen link must be dated before the freeze.

    Dating it at its arrival would keep a group open whose member died meanwhile. The
    silence limit is raised, because the digest must arrive after a long freeze.
    """
    monkeypatch.setattr(link_module, "SILENCE_LIMIT_S", 60.0)
    served, handlers = recorder()
    dialled, dial_handlers = recorder()
    thawed = asyncio.Event()
    thawed.set()
    async with (
        serving(handlers) as address,
        freezable(address, thawed) as via,
        running(via, dial_handlers),
    ):
        await until(lambda: bool(dialled.links and served.links), CLOSE_LIMIT_S)
        sender, receiver = served.links[0], dialled.links[0]
        await until(lambda: sender.last_ping_received > 0, CLOSE_LIMIT_S)
        report = MemberReport(ref=1, vm="vm-1", health=None, age_ms=200)
        answered_at_s = now_s() - 0.2
        thawed.clear()
        sender.async_send(
            EvidenceDigest(echo=sender.last_ping_received, reports=(report,))
        )
        await asyncio.sleep(EVIDENCE_MAX_AGE_S + 0.2)
        thawed.set()
        await until(lambda: latest_digest(dialled) is not None, CLOSE_LIMIT_S)
        digest = latest_digest(dialled)
        assert digest is not None
        dated_s = receiver.evidence_time_s(digest.echo, digest.reports[0].age_ms)
        assert dated_s is not None
        assert dated_s <= answered_at_s
        assert now_s() - dated_s > EVIDENCE_MAX_AGE_S


async def test_digest_without_known_echo_proves_nothing() -> None:
    """A digest that echoes no ping, or one never sent, must not be dated at all."""
    _, handlers = recorder()
    async with serving(handlers) as address:
        link = await async_open(address, identity("b"), handlers)
        assert link.evidence_time_s(0, 0) is None
        assert link.evidence_time_s(99, 0) is None


async def test_peer_that_does_not_read_is_dropped() -> None:
    """Messages to a stalled peer must not fill the memory of this process."""
    served, handlers = recorder()
    dialled, dial_handlers = recorder()
    view = GroupView(zone="z" * (MAX_FRAME_BYTES // 2), revision=1, groups=())
    async with serving(handlers) as address, running(address, dial_handlers):
        await until(lambda: bool(dialled.links and served.links), CLOSE_LIMIT_S)
        while served.links[0].async_send(view):
            pass
        assert isinstance(served.links[0].error, SendQueueFullError)
        await until(lambda: ("close", "b") in served.seen, CLOSE_LIMIT_S)


async def test_address_that_hangs_does_not_delay_the_next() -> None:
    """A paused process accepts connections; failover must not wait for its answer."""
    _, handlers = recorder()
    dialled, dial_handlers = recorder()

    async def async_hang(
        reader: asyncio.StreamReader, _writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()

    paused = await asyncio.start_server(async_hang, "127.0.0.1", 0)
    hanging = f"ws://127.0.0.1:{paused.sockets[0].getsockname()[1]}"
    async with serving(handlers) as address:
        own = identity("b")
        task = asyncio.create_task(
            async_maintain([hanging, address], own, dial_handlers)
        )
        await until(lambda: bool(dialled.links), CONNECT_TIMEOUT_S)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    paused.close()
