"""Tests of the headers in which servers speak of themselves."""

import pytest

from gooseberryhall.fleet.statements import NO_STATEMENT
from gooseberryhall.platform.statements import MAX_COLD_S, MAX_PAUSE_S, decode_statement
from gooseberryhall.transport.exchange import Headers, ResponseHead


@pytest.mark.parametrize(
    ("values", "leaving", "unusable"),
    [
        ([b"1"], True, 0),
        ([b"0"], False, 0),
        ([b"0", b"1"], True, 0),
        ([b""], False, 1),
        ([b"true"], False, 1),
        ([b"\xff1"], False, 1),
        ([b"11"], False, 1),
    ],
)
def test_only_one_says_that_a_server_leaves(
    values: list[bytes], leaving: bool, unusable: int
) -> None:
    """Guards against a sound server that gets no work for a malformed header."""
    headers: Headers = [(b"server-leaving", value) for value in values]
    statement = decode_statement(ResponseHead(200, headers))
    assert statement.leaving is leaving
    assert len(statement.unusable) == unusable


@pytest.mark.parametrize(
    ("values", "pause_s", "unusable"),
    [
        ([b"3"], 3.0, 0),
        ([b"0.25"], 0.25, 0),
        ([b"0"], 0.0, 0),
        ([b"1", b"4", b"2"], 4.0, 0),
        ([b"31536000"], MAX_PAUSE_S, 0),
        ([b"-3"], None, 1),
        ([b"1e9"], None, 1),
        ([b"nan"], None, 1),
        ([b"9" * 5000], None, 1),
        ([b"Fri, 31 Dec 1999 23:59:59 GMT"], None, 1),
        ([b"\xd9\xa3"], None, 1),
        ([b"soon", b"2"], 2.0, 1),
    ],
)
def test_pause_is_a_bounded_number_of_seconds(
    values: list[bytes], pause_s: float | None, unusable: int
) -> None:
    """Guards against an error, or a pause without end, for a malformed header."""
    headers: Headers = [(b"retry-after", value) for value in values]
    statement = decode_statement(ResponseHead(503, headers))
    assert statement.pause_s == pause_s
    assert len(statement.unusable) == unusable


def test_retry_after_of_another_status_is_no_pause() -> None:
    """Guards against a pause for an answer that turned nothing away."""
    head = ResponseHead(429, [(b"retry-after", b"3")])
    assert decode_statement(head) is NO_STATEMENT


@pytest.mark.parametrize(
    ("values", "cold_s", "unusable"),
    [
        ([b"1500"], 1.5, 0),
        ([b"0"], 0.0, 0),
        ([b"12.5", b"3000"], 3.0, 0),
        ([b"9" * 9], MAX_COLD_S, 0),
        ([b"-1"], None, 1),
        ([b""], None, 1),
    ],
)
def test_cold_time_is_a_bounded_number_of_milliseconds(
    values: list[bytes], cold_s: float | None, unusable: int
) -> None:
    """Guards against a cold server that is taken for warm, or for cold without end."""
    headers: Headers = [(b"x-cold-milliseconds", value) for value in values]
    statement = decode_statement(ResponseHead(200, headers))
    assert statement.cold_s == cold_s
    assert len(statement.unusable) == unusable
