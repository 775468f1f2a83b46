"""Runs the soak against node programs with fixed seeds."""

from pathlib import Path

import pytest

from standins.soak.run import async_run_seed

SHORT_S = 5.0


@pytest.mark.parametrize("seed", [11, 12])
async def test_promises_hold_under_random_faults(tmp_path: Path, seed: int) -> None:
    """Guards against broken promises when several faults in series overlap."""
    result = await async_run_seed(seed, tmp_path, SHORT_S)
    assert result.violations == [], result.faults
    assert result.outcomes["read 200"]
