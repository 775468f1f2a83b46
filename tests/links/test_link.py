"""Tests of open links: invalid frames, timeouts and the dating of evidence."""

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
    RECEIVE_TIMEOUT_S,
)
from gooseberryhall.links.exceptions import SendQueueFullError
from gooseberryhall.links.link import LinkHandlers
from gooseberryhall.links.messages import EvidenceDigest, GroupView, MemberReport
from gooseberryhall.links.metrics import FRAMES_REFUSED

from .common import Recorded, async_serving, async_until, identity, recorder

# The receive timeout, one ping period and the closing handshake.
DETECTION_TIMEOUT_S = RECEIVE_TIMEOUT_S + 1.0
CLOSE_TIMEOUT_S = 2.0


@asynccontextmanager
async def async_running_link(
    address: str, handlers: LinkHandlers, node: str = "b"
) -> AsyncIterator[None]:
    """Maintain a link from another node."""
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
    """Guards against a faulty peer that stops this process or keeps its link."""
    server_side, handlers = recorder()
    client_side, client_handlers = recorder()
    before = FRAMES_REFUSED.values.get({"error": code}, 0)
    async with (
        async_serving(handlers) as address,
        async_running_link(address, client_handlers),
    ):
        await async_until(
            lambda: bool(client_side.links and server_side.links), CLOSE_TIMEOUT_S
        )
        client_side.links[0].async_send_frame(frame)
        await async_until(lambda: ("close", "b") in server_side.events, CLOSE_TIMEOUT_S)
        assert server_side.links[0].error is not None
        assert server_side.links[0].error.code == code
        # The link is opened again.
        await async_until(lambda: server_side.events.count(("open", "b")) > 1, 5)
    assert FRAMES_REFUSED.values.get({"error": code}, 0) == before + 1


async def async_relay(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, thawed: asyncio.Event
) -> None:
    """Copy bytes while the relay is not frozen."""
    while data := await reader.read(65536):
        await thawed.wait()
        writer.write(data)
        await writer.drain()
    writer.close()


@asynccontextmanager
async def async_freezable(address: str, thawed: asyncio.Event) -> AsyncIterator[str]:
    """Relay connections to an address; a frozen relay holds back their data."""
    host, port = address.removeprefix("ws://").split(":")
    tasks: set[asyncio.Task[None]] = set()

    async def async_handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        up_reader, up_writer = await asyncio.open_connection(host, int(port))
        tasks.add(asyncio.create_task(async_relay(up_reader, writer, thawed)))
        tasks.add(asyncio.create_task(async_relay(reader, up_writer, thawed)))

    server = await asyncio.start_server(async_handle, "127.0.0.1", 0)
    async with server:
        yield f"ws://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        for task in tasks:
            task.cancel()
        server.close()


async def test_frozen_link_is_closed() -> None:
    """Guards against a broken connection that neither end detects without a reset."""
    server_side, handlers = recorder()
    client_side, client_handlers = recorder()
    thawed = asyncio.Event()
    thawed.set()
    async with (
        async_serving(handlers) as address,
        async_freezable(address, thawed) as via,
        async_running_link(via, client_handlers),
    ):
        await async_until(
            lambda: bool(client_side.links and server_side.links), CLOSE_TIMEOUT_S
        )
        frozen_at_s = now_s()
        thawed.clear()
        await async_until(
            lambda: (
                ("close", "a") in client_side.events
                and ("close", "b") in server_side.events
            ),
            DETECTION_TIMEOUT_S,
        )
        assert now_s() - frozen_at_s >= RECEIVE_TIMEOUT_S / 2


def latest_digest(recorded: Recorded) -> EvidenceDigest | None:
    """Return the latest received digest."""
    digests = [item for item in recorded.messages if isinstance(item, EvidenceDigest)]
    return digests[-1] if digests else None


async def test_late_digest_does_not_look_fresh(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against dating a delayed digest by its arrival, not by the echoed ping.

    That would keep a group open whose member was lost meanwhile. The receive timeout is
    raised, because the digest must arrive after a long freeze.
    """
    monkeypatch.setattr(link_module, "RECEIVE_TIMEOUT_S", 60.0)
    server_side, handlers = recorder()
    client_side, client_handlers = recorder()
    thawed = asyncio.Event()
    thawed.set()
    async with (
        async_serving(handlers) as address,
        async_freezable(address, thawed) as via,
        async_running_link(via, client_handlers),
    ):
        await async_until(
            lambda: bool(client_side.links and server_side.links), CLOSE_TIMEOUT_S
        )
        sender, receiver = server_side.links[0], client_side.links[0]
        await async_until(lambda: sender.last_ping_received > 0, CLOSE_TIMEOUT_S)
        report = MemberReport(ref=1, vm="vm-1", health=None, age_ms=200)
        answered_at_s = now_s() - 0.2
        thawed.clear()
        sender.async_send(
            EvidenceDigest(echo=sender.last_ping_received, reports=(report,))
        )
        await asyncio.sleep(EVIDENCE_MAX_AGE_S + 0.2)
        thawed.set()
        await async_until(
            lambda: latest_digest(client_side) is not None, CLOSE_TIMEOUT_S
        )
        digest = latest_digest(client_side)
        assert digest is not None
        dated_s = receiver.evidence_time_s(digest.echo, digest.reports[0].age_ms)
        assert dated_s is not None
        assert dated_s <= answered_at_s
        assert now_s() - dated_s > EVIDENCE_MAX_AGE_S


async def test_digest_without_valid_echo_is_not_dated() -> None:
    """Guards against dating a digest that echoes no ping or one that was not sent."""
    _, handlers = recorder()
    async with async_serving(handlers) as address:
        link = await async_open(address, identity("b"), handlers)
        assert link.evidence_time_s(0, 0) is None
        assert link.evidence_time_s(99, 0) is None


async def test_peer_that_does_not_read_is_dropped() -> None:
    """Guards against messages to a stalled peer that fill the memory."""
    server_side, handlers = recorder()
    client_side, client_handlers = recorder()
    view = GroupView(zone="z" * (MAX_FRAME_BYTES // 2), revision=1, groups=())
    async with (
        async_serving(handlers) as address,
        async_running_link(address, client_handlers),
    ):
        await async_until(
            lambda: bool(client_side.links and server_side.links), CLOSE_TIMEOUT_S
        )
        while server_side.links[0].async_send(view):
            pass
        assert isinstance(server_side.links[0].error, SendQueueFullError)
        await async_until(lambda: ("close", "b") in server_side.events, CLOSE_TIMEOUT_S)


async def test_address_that_hangs_does_not_delay_the_next() -> None:
    """Guards against a failover that waits for a paused process.

    Connections to a paused process are accepted but not handled.
    """
    _, handlers = recorder()
    client_side, client_handlers = recorder()

    async def async_hang(
        reader: asyncio.StreamReader, _writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()

    paused = await asyncio.start_server(async_hang, "127.0.0.1", 0)
    hanging = f"ws://127.0.0.1:{paused.sockets[0].getsockname()[1]}"
    async with async_serving(handlers) as address:
        client_identity = identity("b")
        task = asyncio.create_task(
            async_maintain([hanging, address], client_identity, client_handlers)
        )
        await async_until(lambda: bool(client_side.links), CONNECT_TIMEOUT_S)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    paused.close()
