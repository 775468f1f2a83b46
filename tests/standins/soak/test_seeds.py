"""Plays seeds of the soak against node programs."""

from pathlib import Path

import pytest

from standins.soak.run import async_play

SHORT_S = 5.0


@pytest.mark.parametrize("seed", [11, 12])
async def test_promises_hold_under_random_faults(tmp_path: Path, seed: int) -> None:
    """Guards against broken promises when faults come in series and overlap."""
    result = await async_play(seed, tmp_path, SHORT_S)
    assert result.violations == [], result.faults
    assert result.outcomes["read 200"]
