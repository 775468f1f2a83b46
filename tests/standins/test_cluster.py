"""A cluster ends every process that it started."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from standins.cluster import Cluster, async_wait_for
from standins.processes import ROOT

from .conftest import SMALL

_SCRIPT = """
import asyncio, signal
from standins.cluster import Cluster
from tests.standins.conftest import SMALL
async def main():
    async with Cluster(SMALL, programs=()) as cluster:
        pids = [item.pid for item in cluster.processes.by_name.values()]
        print(*pids, flush=True)
        await asyncio.sleep(60)
# A shell lets the commands that it starts in the background ignore SIGINT, and the
# launcher inherits that.
signal.signal(signal.SIGINT, signal.default_int_handler)
asyncio.run(main())
"""


def _is_alive(pid: int) -> bool:
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0]
    except OSError:
        return False
    return state != "Z"


async def test_an_exception_leaves_no_process() -> None:
    """Guards against processes left behind by a failed test."""
    pids = []
    with pytest.raises(RuntimeError):
        async with Cluster(SMALL, programs=()) as cluster:
            pids = [item.pid for item in cluster.processes.by_name.values()]
            cluster.pause(cluster.vms[0].vm)
            raise RuntimeError
    assert len(pids) == 5
    assert not any(_is_alive(pid) for pid in pids)


@pytest.mark.parametrize("name", ["SIGINT", "SIGKILL"])
async def test_the_end_of_the_launcher_leaves_no_process(name: str) -> None:
    """Guards against processes left behind by Ctrl-C or a killed test run."""
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    launcher = subprocess.Popen(
        [sys.executable, "-c", _SCRIPT],
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

        async def async_all_ended() -> bool:
            return not any(_is_alive(pid) for pid in pids)

        await async_wait_for(async_all_ended, 5.0, "the end of all processes")
    finally:
        launcher.kill()
        launcher.communicate()
