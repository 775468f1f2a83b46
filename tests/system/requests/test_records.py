"""Logs and time lines of requests."""

from pathlib import Path

import pytest

from standins.demo import TEAM_TOKEN

from .common import RunningSystem, async_chat, async_send_command

pytestmark = pytest.mark.asyncio(loop_scope="package")

PROMPT = "moisture-in-bin-seventeen"
BODY = {"reason": "payroll-content-of-a-command"}


def read_logs(directory: Path) -> str:
    """Return the joined logs of all programs of the entry VMs."""
    return "".join(
        path.read_text(errors="replace")
        for path in directory.glob("*.log")
        if any(program in path.name for program in ("entry", "control", "admin"))
    )


async def test_logs_and_time_lines_hold_no_content(system: RunningSystem) -> None:
    """Guards against prompts, bodies and tokens in the data that operators collect."""
    cluster = system.cluster
    for node in system.nodes:
        await async_chat(system, node, PROMPT)
        await async_send_command(system, node, f"records-{node.name}", body=BODY)
    written = read_logs(cluster.directory)
    for node in system.nodes:
        for program in ("entry", "control", "admin"):
            _, page = await cluster.async_get(f"{node.ops_address(program)}/timeline")
            written += str(page)
    assert "GH1002" in written
    for secret in (PROMPT, BODY["reason"], TEAM_TOKEN):
        assert secret not in written
