"""Tests of nodes that reach their peers and callers, but no server."""

import asyncio

import pytest

from tests.gateway.common import (
    ReceivedRequest,
    ScriptedServer,
    chunk,
    encode_response,
    event,
    stream_head,
)
from tests.node.cluster import Cut, async_cluster

NODES = {"a1": "a", "a2": "a", "b1": "b"}
REQUESTS = 20
# Time in which a node notices that it is partitioned. It gets requests meanwhile.
NOTICE_S = 2.0
PERIOD_S = 0.1
REPLACED_S = 1.5


async def _async_answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    if "/stream/" not in request.request_line:
        writer.write(encode_response(request))
        return
    writer.write(stream_head(request))
    for number in range(1, 4):
        writer.write(chunk(event(number)))
        await asyncio.sleep(0.01)
    writer.write(chunk(b""))


def _servers() -> tuple[ScriptedServer, ...]:
    return tuple(ScriptedServer(f"s{number}", _async_answer) for number in range(4))


@pytest.mark.parametrize("how", Cut)
@pytest.mark.parametrize("names", [("a1",), ("a1", "a2")])
async def test_callers_of_a_node_that_is_partitioned_from_all_servers_are_served(
    monkeypatch: pytest.MonkeyPatch, names: tuple[str, ...], how: Cut
) -> None:
    """Guards against refusals to callers whose node alone reaches no server (RECOVER).

    Their node reaches others that do, also if all nodes of its zone are partitioned.
    """
    async with async_cluster(monkeypatch, NODES, *_servers()) as cluster:
        cluster.partition(how, *names)
        for _ in range(int(NOTICE_S / PERIOD_S)):
            asyncio.get_running_loop().create_task(cluster.async_ask("a1"))
            await asyncio.sleep(PERIOD_S)
        await asyncio.sleep(REPLACED_S)
        served = [
            await cluster.async_count_served("a1", REQUESTS),
            await cluster.async_count_served(
                "a1", REQUESTS, path="/once/1", method="POST", body="x"
            ),
            await cluster.async_count_served("a1", REQUESTS, path="/stream/1"),
        ]
        others = await cluster.async_count_served("b1", REQUESTS)
    assert served == [REQUESTS] * 3
    assert others == REQUESTS


async def test_connections_that_a_cut_resets_are_no_crashes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against sound requests that all nodes refuse after a cut.

    Three servers seemed to crash under the same request, as its connections to them
    were reset at the same moment (GH1528 in the incident).
    """

    async def async_wait(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.3)
        writer.write(encode_response(request))

    servers = tuple(ScriptedServer(f"s{number}", async_wait) for number in range(4))
    async with async_cluster(monkeypatch, NODES, *servers) as cluster:
        calls = [cluster.async_ask("a1", "/a/same") for _ in range(8)]
        waiting = asyncio.gather(*calls)
        await asyncio.sleep(0.15)
        cluster.partition(Cut.RESET, "a1")
        await waiting
        await asyncio.sleep(REPLACED_S)
        served = [
            await cluster.async_count_served(name, 4, path="/a/same") for name in NODES
        ]
    assert served == [4, 4, 4]
