"""Tests of the log handler of the request path."""

import fcntl
import logging
import os
from collections.abc import Iterator

import pytest

from gooseberryhall.telemetry.rate_limited_logs import RateLimitedHandler

PIPE_BYTES = 4096


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """Return the ends of a small pipe."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _refuse(*_: object) -> None:
    raise PermissionError(1, "Operation not permitted")


@pytest.mark.parametrize("refused", [False, True])
def test_full_pipe_does_not_block_the_program(
    pipe: tuple[int, int], refused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a log that stops the request path, or a start that fails.

    A system may refuse to make standard output non-blocking.
    """
    if refused:
        monkeypatch.setattr(os, "set_blocking", _refuse)
    handler = RateLimitedHandler(pipe[1])
    assert handler.may_block is refused
    record = logging.makeLogRecord({"msg": "x" * 100})
    for _ in range(2 * PIPE_BYTES // 100):
        handler.emit(record)
    assert handler.dropped
    os.read(pipe[0], PIPE_BYTES)
    handler.emit(record)
    assert handler.dropped == 0
