"""Tests of the bounds on connections, on slow callers and on small chunks."""

from dataclasses import dataclass

from gooseberryhall.gateway.const import FREE_PARTS, PART_COST_S, PARTS_TIME_SHARE
from gooseberryhall.gateway.incoming import IncomingRequest, TakenBytes
from gooseberryhall.gateway.intake import (
    choose_closed,
    choose_unread,
    max_connections,
    receive_buffer_bytes,
)
from gooseberryhall.gateway.pacing import PartPacer

MEMORY = 160_000_000


@dataclass(frozen=True)
class Connection:
    """A connection as the bounds see it."""

    since_s: float = 0.0
    is_idle: bool = False
    is_unserved: bool = True
    unsent_bytes: int = 0
    slow_s: float = 0.0

    def untaken_s(self, _: float) -> float:
        """Return the time without progress."""
        return self.slow_s


def test_idle_connections_are_closed_first_and_served_ones_never() -> None:
    """Guards against cutting a request at a server for a new connection."""
    served = Connection(0.0, is_unserved=False)
    old, new = Connection(1.0), Connection(2.0)
    idle, recent = Connection(3.0, is_idle=True), Connection(4.0, is_idle=True)
    assert choose_closed([served, new, old, recent, idle]) is idle
    assert choose_closed([served, new, old]) is old
    assert choose_closed([served]) is None


def test_connections_fit_into_descriptors_and_memory() -> None:
    """Guards against a node that cannot open connections to its servers."""
    for descriptors in (128, 1024, 20_000):
        assert max_connections(MEMORY, descriptors) * 2 < descriptors
    assert max_connections(MEMORY, 10**9) * 8192 < MEMORY / 8
    assert max_connections(MEMORY, 1024, lowered=10) == 10
    assert max_connections(MEMORY, 1024, lowered=10**9) == max_connections(MEMORY, 1024)


def test_receive_buffers_shrink_with_the_number_of_connections() -> None:
    """Guards against kernel buffers that take the memory of the VM."""
    assert receive_buffer_bytes(MEMORY, 50) is None
    for connections in (200, 1000):
        size = receive_buffer_bytes(MEMORY, connections)
        assert size is not None
        assert size * connections <= MEMORY / 8


def test_callers_that_do_not_read_are_given_up_as_needed() -> None:
    """Guards against a slow caller that is cut although there is enough memory."""
    slow = Connection(unsent_bytes=300, slow_s=2.0)
    slower = Connection(unsent_bytes=500, slow_s=2.0)
    reading = Connection(unsent_bytes=900, slow_s=0.1)
    dead = Connection(unsent_bytes=1, slow_s=20.0)
    callers = [slow, slower, reading, dead]

    def choose(excess: int) -> list[Connection]:
        return choose_unread(
            callers, 0.0, idle_timeout_s=15, max_unread_s=1, excess_bytes=excess
        )

    assert choose(0) == [dead]
    assert choose(400) == [slower, dead]
    assert choose(600) == [slower, slow, dead]


def test_progress_of_a_caller_is_noticed() -> None:
    """Guards against cutting a caller that reads a large response slowly."""
    taken = TakenBytes(taken_s=0.0)
    taken.written_bytes = 1000
    assert taken.untaken_s(900, 10.0) == 0
    assert taken.untaken_s(900, 11.0) == 1
    assert taken.untaken_s(899, 12.0) == 0
    assert taken.untaken_s(0, 20.0) == 0


def test_small_parts_take_a_share_of_the_time() -> None:
    """Guards against tiny chunks of many callers that keep a node busy."""
    pacer = PartPacer()
    assert pacer.delay_s(FREE_PARTS, 0.0) == 0
    cost_s = 40_000 * PART_COST_S / PARTS_TIME_SHARE
    delays = [pacer.delay_s(40_000, 5.0) for _ in range(3)]
    assert [round(delay / cost_s, 6) for delay in delays] == [1, 2, 3]


def test_body_has_the_later_of_its_deadline_and_the_idle_timeout() -> None:
    """Guards against a drip without end, and against cutting a slow caller early."""
    message = IncomingRequest()
    assert message.body_limit_s(b"x", 15.0, 60.0) == 15
    for value, limit_s in ((b"8000", 15), (b"20000", 20), (b"9" * 11, 60), (b"-", 15)):
        message.headers = [(b"x", value)]
        assert message.body_limit_s(b"x", 15.0, 60.0) == limit_s
