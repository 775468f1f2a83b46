"""Tests of the options file."""

from pathlib import Path

import pytest

from gooseberryhall.node.intake import create_bounds
from gooseberryhall.node.options import DEFAULT_OPTIONS
from gooseberryhall.platform.exceptions import PlatformSettingsError
from gooseberryhall.platform.options import (
    OPTIONS_VARIABLE,
    decode_options,
    load_options,
)

ROOT = Path(__file__).parents[2]


def test_features_are_off_without_an_options_file(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a feature that no operator has asked for."""
    monkeypatch.delenv(OPTIONS_VARIABLE, raising=False)
    assert load_options() == DEFAULT_OPTIONS
    assert DEFAULT_OPTIONS.hedging.max_share == 0


def test_options_are_read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against options that are ignored."""
    path = tmp_path / "options.json"
    path.write_text(
        '{"hedging": {"max_share": 0.05}, "input_limits": {"body_ms": 9000}}'
    )
    monkeypatch.setenv(OPTIONS_VARIABLE, str(path))
    options = load_options()
    assert options.hedging.max_share == 0.05
    assert options.input_limits.held_bytes is None
    assert create_bounds(options.input_limits).max_body_s == 9


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ('{"hedgeing": {}}', "hedgeing"),
        ('{"hedging": {"max_share": 2}}', "max_share"),
        ('{"hedging": {"quantile": 0}}', "quantile"),
        ('{"input_limits": {"held_bytes": 0}}', "held_bytes"),
        ("[", "options.json"),
    ],
)
def test_malformed_options_are_refused(
    text: str, reason: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a misspelled option that silently has no effect."""
    path = tmp_path / "options.json"
    path.write_text(text)
    monkeypatch.setenv(OPTIONS_VARIABLE, str(path))
    with pytest.raises(PlatformSettingsError, match=reason):
        load_options()


def test_example_can_be_read() -> None:
    """Guards against an example with which the node does not start."""
    options = decode_options((ROOT / "deploy/options.example.json").read_bytes())
    assert options.hedging.max_share > 0
