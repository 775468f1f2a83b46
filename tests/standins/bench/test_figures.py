"""Tests of the statistics and inputs of the benches."""

import pytest

from standins.bench.capacity import Capacity, Step
from standins.bench.figures import (
    TICKS_PER_S,
    intercept,
    metric_total,
    slope,
    stat_cpu_s,
    summary,
)
from standins.bench.latency import AddedLatency, arrivals_ms
from standins.bench.prefix import create_turns
from standins.client import ChatResult
from standins.engine.prefix_cache import prompt_blocks


def test_summary_has_percentile_and_interquartile_range() -> None:
    """Guards against a percentile or spread that depends on the order of values."""
    item = summary([float(value) for value in reversed(range(1, 101))])
    assert (item.count, item.median, item.p95, item.spread) == (100, 51.0, 96.0, 50.0)
    assert summary([]).count == 0


def test_line_through_points() -> None:
    """Guards against swapped axes, and a division by zero for equal loads."""
    points = [(0.0, 3.0), (2.0, 7.0), (4.0, 11.0)]
    assert (slope(points), intercept(points)) == (2.0, 3.0)
    assert slope([(1.0, 2.0), (1.0, 4.0)]) == 0.0


def test_readings_of_other_names_are_ignored() -> None:
    """Guards against misread process names and against metrics with a common prefix."""
    stat = "7 (a (b) c) S 1 1 1 0 -1 4 0 0 0 0 150 50 0 0 20 0"
    assert stat_cpu_s(stat) == pytest.approx(200 / TICKS_PER_S)
    text = 'bytes{way="in"} 2\nbytes{way="out"} 3\nbytes_total 50\nbytes 1\n'
    assert metric_total(text, "bytes") == 6.0
    assert metric_total(text, "bytes", 'way="in"') == 2.0


def test_added_latency_compares_the_chunks_of_a_pair() -> None:
    """Guards against comparing the wrong chunks, or with the wrong sign."""
    direct = ChatResult("whole", first_token_ms=10.0, gaps_ms=[5.0, 5.0])
    through = ChatResult("whole", first_token_ms=12.0, gaps_ms=[5.0, 8.0])
    added = AddedLatency()
    added.add(direct, through)
    assert arrivals_ms(through) == [12.0, 17.0, 25.0]
    assert (added.first_ms, added.chunk_ms) == ([2.0], [2.0, 5.0])
    assert added.gap_ms == [0.0, 3.0]


def test_rate_for_each_core_is_that_of_the_busiest_step() -> None:
    """Guards against rates from a step in which the entry process was mostly idle."""
    steps = [
        Step(1, 1, 100.0, 300.0, 0.0, 0.25, 0.1, 0.1),
        Step(4, 1, 300.0, 900.0, 0.0, 0.6, 0.95, 0.1),
    ]
    capacity = Capacity(tuple(steps))
    assert capacity.requests_per_core_s == pytest.approx(500.0)
    assert (steps[0].limit, capacity.best.limit) == ("none", "load generator")


def test_turns_are_reproducible_and_extend_each_other() -> None:
    """Guards against prompts that differ between the compared kinds of routing."""
    turns = create_turns(3)
    assert turns == create_turns(3)
    firsts = {turn.messages[0]["content"] for turn in turns}
    assert len(firsts) > 1
    blocks = [prompt_blocks("m", turn.messages) for turn in turns]
    assert any(len(turn.messages) > 1 + 2 for turn in turns)
    shared = {block for item in blocks[:50] for block in item}
    assert any(block in shared for item in blocks[50:] for block in item)
