"""Replays of load patterns with old figures."""

import pytest

from .replay import Replay


def _share_of_opened_group(*, old: bool) -> float:
    replay = Replay([0] + [19] * 27, nodes=66, old=old, objective_s=0.2)
    for _ in range(30):
        replay.step(8)
    return replay.received[0] / replay.received.total()


def test_group_that_has_just_opened_is_not_flooded() -> None:
    """Guards against 66 nodes that all send to the one group that looks free.

    Pattern: a burst at twice the capacity, 28 groups, figures 0.3 s old.
    """
    assert _share_of_opened_group(old=True) > 0.7
    assert _share_of_opened_group(old=False) < 0.35


def _burst(rate: int, *, old: bool) -> Replay:
    replay = Replay([8] * 28, nodes=66, old=old, objective_s=0.3)
    for _ in range(400):
        replay.step(rate)
    return replay


@pytest.mark.parametrize("rate", [4, 8])
def test_rejections_and_late_answers_in_a_burst(rate: int) -> None:
    """Guards against requests that servers reject or answer late in a burst.

    Pattern: arrivals at 0.95 and at 1.9 of the capacity of 28 groups, seen by 66 nodes
    0.3 s late.
    """
    before, after = (_burst(rate, old=old).outcomes for old in (True, False))
    assert after["in_time"] > before["in_time"]
    assert after["rejected"] < before["rejected"] / 1.5
