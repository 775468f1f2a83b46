"""Tests that a cluster stops every process that it started."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from standins.cluster import Cluster, async_wait_for
from standins.processes import ROOT

from .conftest import SMALL

_LAUNCHER_SCRIPT = """
import asyncio, signal
from standins.cluster import Cluster
from tests.standins.conftest import SMALL
async def main():
    async with Cluster(SMALL, programs=()) as cluster:
        pids = [item.pid for item in cluster.processes.by_name.values()]
        print(*pids, flush=True)
        await asyncio.sleep(60)
# Background commands of a shell ignore SIGINT, and the launcher inherits that.
signal.signal(signal.SIGINT, signal.default_int_handler)
asyncio.run(main())
"""


def _is_running(pid: int) -> bool:
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0]
    except OSError:
        return False
    return state != "Z"


async def test_an_exception_leaves_no_process() -> None:
    """Guards against processes that outlive a failed test."""
    pids = []
    with pytest.raises(RuntimeError):
        async with Cluster(SMALL, programs=()) as cluster:
            pids = [item.pid for item in cluster.processes.by_name.values()]
            cluster.pause(cluster.vms[0].vm)
            raise RuntimeError
    assert len(pids) == 5
    assert not any(_is_running(pid) for pid in pids)


@pytest.mark.parametrize("name", ["SIGINT", "SIGKILL"])
async def test_launcher_exit_leaves_no_process(name: str) -> None:
    """Guards against processes that outlive Ctrl-C or a killed test run."""
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    launcher = subprocess.Popen(
        [sys.executable, "-c", _LAUNCHER_SCRIPT],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        cwd=ROOT,
        env=environment,
    )
    try:
        assert launcher.stdout is not None
        pids = [int(pid) for pid in launcher.stdout.readline().split()]
        assert len(pids) == 5
        launcher.send_signal(signal.Signals[name])

        async def async_all_exited() -> bool:
            return not any(_is_running(pid) for pid in pids)

        await async_wait_for(async_all_exited, 5.0, "all processes exited")
    finally:
        launcher.kill()
        launcher.communicate()
