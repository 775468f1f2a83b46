"""Tests of requests whose group is lost or stalled."""

import pytest

from gooseberryhall.core.events import Tick
from gooseberryhall.requests.effects import EndAttempt, FailRequest, ResumeAttempt
from gooseberryhall.requests.events import FirstContent, StreamBroken
from gooseberryhall.requests.models import BreakReason
from tests.requests.test_suspects import Node, create_node
from tests.routing.common import add_group, report_unresponsive


@pytest.fixture
def node() -> Node:
    """Return a node with two open groups."""
    return create_node("a", "b")


def lose_member(node: Node, name: str) -> None:
    """Make the second member of a group unresponsive."""
    member = node.state.groups.groups[name].members[1]
    report_unresponsive(node.state, member.vm, node.now_s)


def test_request_leaves_a_lost_group_before_the_first_content(node: Node) -> None:
    """A caller must not wait for the first-token limit once probes show the loss."""
    request_id = node.arrive("f")
    first = node.groups[request_id]
    lose_member(node, first)
    assert node.send(Tick()) == [EndAttempt(request_id)]
    assert node.send(Tick()) == []
    node.send(StreamBroken(request_id, BreakReason.STALLED, ""))
    assert node.groups[request_id] != first


def test_request_leaves_a_group_of_another_generation(node: Node) -> None:
    """A group that was formed again does not run the requests of before."""
    request_id = node.arrive("f")
    add_group(node.state, node.groups[request_id], generation=2)
    assert node.send(Tick()) == [EndAttempt(request_id)]


def test_stream_with_content_stays_with_its_engine(node: Node) -> None:
    """After the first content only the same engine can complete the response."""
    request_id = node.arrive("f")
    node.send(FirstContent(request_id))
    lose_member(node, node.groups[request_id])
    assert not any(isinstance(item, EndAttempt) for item in node.send(Tick()))
    broken = StreamBroken(request_id, BreakReason.STALLED, "")
    assert any(isinstance(item, ResumeAttempt) for item in node.send(broken))


def test_missing_evidence_is_no_loss(node: Node) -> None:
    """A node without a control process must not end requests that still run."""
    request_id = node.arrive("f")
    node.now_s += 60.0
    effects = node.send(Tick())
    assert not any(isinstance(item, EndAttempt | FailRequest) for item in effects)
    assert request_id in node.state.requests.active
