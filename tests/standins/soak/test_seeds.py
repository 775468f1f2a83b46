"""Runs the soak against node programs with fixed seeds."""

from pathlib import Path

import pytest

from standins.soak.run import FAULTS_S, async_run_seed

SHORT_S = 5.0


@pytest.mark.parametrize(
    ("seed", "seconds"),
    [
        (11, SHORT_S),
        (12, SHORT_S),
        # SIGHUP ended a node that had just started.
        (805555, FAULTS_S),
    ],
)
async def test_promises_hold_under_random_faults(
    tmp_path: Path, seed: int, seconds: float
) -> None:
    """Guards against broken promises when several faults in series overlap."""
    result = await async_run_seed(seed, tmp_path, seconds)
    assert result.violations == [], result.faults
    assert result.outcomes["read 200"]
