"""Tests of a planned stop of the node program as a process."""

import asyncio
import signal
from functools import partial
from pathlib import Path

from tests.platform.common import (
    CALLER_PORT,
    RunningNode,
    async_respond,
    async_run_node,
)

REFUSING_KERNEL = Path(__file__).parent / "refusing_kernel"
# Long enough to be in progress when the node stops to accept connections.
LONG_S = 3.5
GRACE_S = 5.0
EXIT_LIMIT_S = GRACE_S + 1.0


async def _async_stop(node: RunningNode) -> None:
    """Wait until a stopping node has ended by itself."""
    await asyncio.wait_for(node.process.wait(), EXIT_LIMIT_S)
    assert node.process.returncode == 0


async def test_request_in_progress_is_answered_if_the_kernel_refuses_a_filter(
    tmp_path: Path,
) -> None:
    """Guards against a stop that fails with PermissionError and cuts all requests."""
    async with async_run_node(
        tmp_path,
        partial(async_respond, delay_s=LONG_S),
        timeout_s=GRACE_S,
        grace_s=GRACE_S,
        environment={"PYTHONPATH": str(REFUSING_KERNEL)},
    ) as node:
        request = asyncio.create_task(node.async_get(CALLER_PORT, "/once/1"))
        await asyncio.sleep(0.2)
        node.process.send_signal(signal.SIGTERM)
        response = await request
        assert response.endswith(b"done")
        await _async_stop(node)
        log = node.log.read_text()
    assert "GH1508" in log
    assert "GH1004" in log
