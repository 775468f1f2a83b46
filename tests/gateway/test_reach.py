"""Tests of the decisions of a node that may be partitioned from the servers."""

import random

from gooseberryhall.gateway.reach import FAILURE_LIFETIME_S, Reach, ServerReach
from gooseberryhall.gateway.relays import (
    MAX_FAILED_IN_ZONE,
    RELAY_BACKOFF_S,
    RELAYS,
    Relay,
    Relays,
)
from gooseberryhall.transport.address import Address
from gooseberryhall.transport.pool import ConnectionPool

ADDRESS = Address("127.0.0.1", 1)


def _relays(*names: str) -> Relays:
    """Return relays of zone z; the first letter of a name is its zone."""
    found = [Relay(name, name[0], ADDRESS) for name in names]
    pool = ConnectionPool(b"x-id")
    return Relays("z", pool, lambda: found, random.Random(1))


def _doubting() -> ServerReach:
    reach = ServerReach()
    reach.record_unconnected("a", 0.0)
    reach.record_unconnected("b", 0.1)
    assert reach.state is Reach.DOUBTED
    return reach


def test_loss_of_one_server_is_no_cut() -> None:
    """Guards against requests by way of peers because one server is down."""
    reach = ServerReach()
    reach.record_unconnected("a", 0.0)
    reach.record_unconnected("a", 0.1)
    assert reach.state is Reach.DIRECT


def test_failures_long_apart_are_no_cut() -> None:
    """Guards against doubts because servers were lost one after the other."""
    reach = ServerReach()
    reach.record_unconnected("a", 0.0)
    reach.record_unconnected("b", FAILURE_LIFETIME_S)
    assert reach.state is Reach.DIRECT


def test_peer_that_reaches_a_working_server_proves_nothing() -> None:
    """Guards against a cut that is believed after two servers were lost."""
    reach = _doubting()
    assert not reach.needs_peer("c")
    reach.record_relayed("c")
    assert reach.state is Reach.DOUBTED
    reach.record_connected()
    assert reach.state is Reach.DIRECT


def test_peer_that_reaches_an_unreached_server_proves_the_cut() -> None:
    """Guards against a node that goes on to connect in vain (RECOVER)."""
    reach = _doubting()
    assert reach.needs_peer("b")
    reach.record_relayed("b")
    assert reach.state is Reach.PARTITIONED
    assert reach.needs_peer("c")


def test_connection_after_a_cut_ends_it() -> None:
    """Guards against needless ways through peers after the end of a cut."""
    reach = _doubting()
    reach.record_relayed("a")
    reach.record_connected()
    assert not reach.needs_peer("a")
    reach.record_unconnected("c", 1.0)
    assert reach.state is Reach.DIRECT


def test_peers_of_other_zones_are_asked_if_those_of_the_zone_fail() -> None:
    """Guards against refusals while all nodes of a zone are partitioned."""
    relays = _relays(*(f"z{number}" for number in range(20)), "y1", "y2")
    for _ in range(MAX_FAILED_IN_ZONE):
        relay = relays.choose((), 0.0)
        assert relay is not None
        assert relay.zone == "z"
        relays.record_failure(relay, 0.0)
    relay = relays.choose((), 0.0)
    assert relay is not None
    assert relay.zone == "y"


def test_requests_are_shared_by_few_peers() -> None:
    """Guards against a new peer for each request, and against one peer for all."""
    relays = _relays(*(f"z{number}" for number in range(20)))
    used = set()
    for number in range(60):
        relay = relays.choose((), number / 100)
        assert relay is not None
        relays.record_success(relay)
        used.add(relay.node)
    assert RELAYS <= len(used) <= 2 * RELAYS


def test_peer_that_failed_is_asked_again_later() -> None:
    """Guards against a node without peers after each of them failed once."""
    relays = _relays("z1")
    relay = relays.choose((), 0.0)
    assert relay is not None
    relays.record_failure(relay, 0.0)
    assert relays.choose((), 0.1) is None
    assert relays.choose((), RELAY_BACKOFF_S + 0.1) == relay
    assert relays.choose(("z1",), RELAY_BACKOFF_S + 0.1) is None
