"""Tests of label selectors."""

import pytest

from gooseberryhall.config.exceptions import SelectorError
from gooseberryhall.config.selectors import parse_selector


@pytest.mark.parametrize(
    ("text", "labels", "expected"),
    [
        ("a=b", {"a": "b"}, True),
        ("a==b", {"a": "c"}, False),
        ("a!=b", {}, True),
        ("a!=b", {"a": "b"}, False),
        ("a in (b, c),d", {"a": "c", "d": ""}, True),
        ("a in (b, c),d", {"a": "c"}, False),
        ("a notin (b)", {"a": "b"}, False),
        ("!a", {"a": "b"}, False),
        ("!a", {}, True),
    ],
)
def test_matches(text: str, labels: dict[str, str], expected: bool) -> None:
    """A wrong result would put VMs into groups for which they were not selected."""
    assert parse_selector(text).matches(labels) is expected


@pytest.mark.parametrize("text", ["", "  ", "a=b,", "a in ()", "a in (b", "=b", "a b"])
def test_malformed_selector_is_refused(text: str) -> None:
    """A malformed selector must not silently select everything or nothing."""
    with pytest.raises(SelectorError):
        parse_selector(text)
