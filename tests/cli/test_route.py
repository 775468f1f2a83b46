"""Tests of the command that asks a node where a request would be sent."""

import json
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from .conftest import UNREACHABLE, RunCommand

ANSWER = {
    "verdict": "send",
    "reason": "it is expected to take the request",
    "server": "s1",
    "candidates": [{"server_id": "s1", "places": 1.5, "reason": "chosen"}],
}


class _Node(BaseHTTPRequestHandler):
    """Answers with the query, or refuses it if it names no team."""

    def do_GET(self) -> None:
        known = "team=a" in self.path
        answer = {**ANSWER, "asked": self.path} if known else {"error": "no team"}
        self.send_response(200 if known else 400)
        self.end_headers()
        self.wfile.write(json.dumps(answer).encode())


@pytest.fixture
def node() -> Iterator[str]:
    """Return the address of a scripted node."""
    with HTTPServer(("127.0.0.1", 0), _Node) as server:
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        yield f"http://127.0.0.1:{server.server_port}"
        server.shutdown()
        thread.join()


def test_explain_route(run: RunCommand, node: str) -> None:
    """Guards against lost fields of the request, and against hidden failures."""
    asked = ("explain", "route", "example/a/1", "--node", node)
    result = run(*asked, "--team", "a", "--tokens", "4,2", "--json")
    assert result.code == 0
    assert result.data["asked"] == ("/explain?host=example&path=/a/1&team=a&tokens=4,2")
    table = run(*asked, "--team", "a").out
    assert table.startswith("send: it is expected")
    assert "1.500" in table
    assert "chosen" in table
    refused = run(*asked)
    assert (refused.code, "no team" in refused.err) == (1, True)
    assert run(*asked[:-1], UNREACHABLE).code == 4
    assert run(*asked[:-2]).code == 2
    assert run("explain", "vm", "x", "--team", "a").code == 2
