"""Replays of what servers say of themselves and which of them may get work."""

from dataclasses import replace

from gooseberryhall.fleet.cold import StatedCold
from gooseberryhall.fleet.statements import (
    HINT_LIFETIME_S,
    RETURN_S,
    UNLISTED_LIFETIME_S,
    ServerStatement,
    ServerStatements,
)
from tests.fleet.common import server

LEAVING = ServerStatement(leaving=True)
S1 = server("s1")


def test_server_that_said_that_it_leaves_gets_no_work() -> None:
    """Guards against requests to a server that announces its leaving in answers only.

    Such servers never report it to the store (DRAIN).
    """
    statements = ServerStatements()
    assert statements.record(S1, LEAVING, 10.0)
    assert not statements.record(S1, LEAVING, 11.0)
    assert not statements.may_send(S1, 99.0)
    # Later answers without the header take nothing back.
    statements.record(S1, ServerStatement(), 12.0)
    assert not statements.may_send(S1, 99.0)


def test_next_incarnation_of_a_server_starts_clean() -> None:
    """Guards against a server that gets no work after it has started again."""
    statements = ServerStatements()
    statements.record(S1, LEAVING, 10.0)
    statements.record_hints({"s1": S1.incarnation_tag}, 10.0)
    assert statements.may_send(replace(S1, started_at_ms=77), 10.1)


def test_leaving_is_known_by_the_tag_alone() -> None:
    """Guards against a lost statement when a node turns from datagrams to records.

    A datagram holds only the tag of the start time.
    """
    full = replace(S1, started_at_ms=1_700_000_000_123)
    short = replace(S1, started_at_ms=full.incarnation_tag)
    statements = ServerStatements()
    statements.record(short, LEAVING, 10.0)
    assert not statements.may_send(full, 10.1)


def test_hint_of_a_peer_ends_when_the_peer_stops_to_repeat_it() -> None:
    """Guards against a wrong hint that takes a server out of use for good."""
    statements = ServerStatements()
    statements.record_hints({"s1": S1.incarnation_tag}, 10.0)
    assert not statements.may_send(S1, 10.0 + HINT_LIFETIME_S - 0.1)
    assert statements.may_send(S1, 10.0 + HINT_LIFETIME_S)
    # A hint is not passed on, or two nodes would keep it alive.
    assert statements.leaving() == {}


def test_paused_server_gets_nothing_until_the_pause_ends() -> None:
    """Guards against requests to a server that asked for none (BUDGET)."""
    statements = ServerStatements()
    assert statements.record(S1, ServerStatement(pause_s=3.0), 10.0)
    # A shorter pause does not end the longer one.
    assert not statements.record(S1, ServerStatement(pause_s=0.5), 10.2)
    assert not statements.may_send(S1, 12.9)
    assert statements.may_send(S1, 13.0)


def test_work_returns_gradually_after_a_pause() -> None:
    """Guards against the load of all callers at the moment at which a pause ends."""
    statements = ServerStatements()
    statements.record(S1, ServerStatement(pause_s=3.0), 10.0)
    slots = [
        statements.usable_slots(S1, 12, 13.0 + RETURN_S * share)
        for share in (0.0, 0.25, 0.5, 1.0)
    ]
    assert slots == [1, 3, 6, 12]


def test_soonest_return_is_known_only_if_all_servers_are_paused() -> None:
    """Guards against a refusal while a server is free, and one with a wrong time."""
    statements = ServerStatements()
    s2 = server("s2")
    statements.record(S1, ServerStatement(pause_s=3.0), 10.0)
    assert statements.soonest_return_s([S1, s2], 10.0) is None
    statements.record(s2, ServerStatement(pause_s=1.0), 10.0)
    assert statements.soonest_return_s([S1, s2], 10.0) == 1.0
    assert statements.soonest_return_s([], 10.0) is None


def test_statements_are_bounded_by_the_list_of_servers() -> None:
    """Guards against memory that grows with each server that ever left."""
    statements = ServerStatements()
    for number in range(50):
        gone = server(f"s{number}")
        statements.record(gone, ServerStatement(leaving=True, pause_s=1.0), 10.0)
        statements.record_hints({f"h{number}": 1}, 10.0)
    statements.retain({"s0"}, 20.0)
    assert not statements.may_send(server("s1"), 20.0)
    statements.retain({"s0"}, 21.0 + UNLISTED_LIFETIME_S)
    assert statements.leaving().keys() == {"s0"}
    assert statements.may_send(server("s1"), 60.0)


def test_stated_cold_time_ages_while_the_vm_is_suspended() -> None:
    """Guards against an old answer that counts as newer than a later server record.

    Records are dated by the clock that counts suspended time; an answer dated by the
    event loop looked younger than a record that arrived after it.
    """
    boot_s = [100.0]
    statements = ServerStatements(clock=lambda: boot_s[0])
    statements.record(S1, ServerStatement(cold_s=0.0), 10.0)
    # The VM is suspended, so the clock of the event loop stands still.
    boot_s[0] += 5.0
    assert statements.stated_cold(S1) == StatedCold(left_s=0.0, age_s=5.0)
