"""Tests of the list of live nodes in entry programs."""

from gooseberryhall.core.reducer import reduce
from gooseberryhall.core.state import Identity, State
from gooseberryhall.limits.admission import count_live_nodes
from gooseberryhall.membership.events import LiveNodesListed
from gooseberryhall.membership.models import Node


def node(name: str) -> Node:
    """Return a node."""
    return Node(name, "obihiro", "hokkaido", "i", "ws://127.0.0.1:1")


def test_entry_program_divides_rates_by_all_live_nodes() -> None:
    """Without the list, each of six nodes would allow a team's whole rate."""
    state = State(Identity("a", "obihiro", "hokkaido"))
    reduce(state, LiveNodesListed(tuple(map(node, "abcdef"))), 0.0)
    assert count_live_nodes(state) == 6
    reduce(state, LiveNodesListed(tuple(map(node, "bc"))), 1.0)
    assert count_live_nodes(state) == 3
