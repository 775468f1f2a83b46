"""Tests of the committed generated documents."""

from pathlib import Path

import pytest

from gooseberryhall.admin.openapi import openapi_text
from gooseberryhall.settings.loader import settings_schema

DOCS = Path(__file__).parent.parent / "docs"


@pytest.mark.parametrize(
    ("name", "text"),
    [("settings.schema.json", settings_schema()), ("openapi.json", openapi_text())],
)
def test_committed_document_matches_the_code(name: str, text: str) -> None:
    """A stale document lists fields that the programs refuse."""
    assert (DOCS / name).read_text(encoding="utf-8") == text, "run script/generate"
