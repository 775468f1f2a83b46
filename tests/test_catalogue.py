"""Tests that compare the event catalogue with the docs and the code."""

import re
from pathlib import Path

from gooseberryhall.telemetry.catalogue import LogEvent

CATALOGUE = Path(__file__).parents[1] / "docs" / "events.md"
PACKAGE = Path(__file__).parents[1] / "gooseberryhall"


def test_docs_list_every_event() -> None:
    """An operator must find every event number in the docs, and no obsolete one."""
    documented = re.findall(r"^\| (GH\d{4}) \|", CATALOGUE.read_text(), re.MULTILINE)
    assert sorted(documented) == sorted(event.value for event in LogEvent)


def test_every_event_is_used() -> None:
    """An event that no code logs would mislead readers of the catalogue."""
    code = "\n".join(
        path.read_text()
        for path in PACKAGE.rglob("*.py")
        if path.name != "catalogue.py"
    )
    unused = [event.name for event in LogEvent if f"LogEvent.{event.name}" not in code]
    assert unused == []
