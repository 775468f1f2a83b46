"""Tests of the validation of the settings file."""

import json
from pathlib import Path
from typing import Any

import pytest

from gooseberryhall.settings.exceptions import SettingsError
from gooseberryhall.settings.loader import load_settings


def valid_settings() -> dict[str, Any]:
    """Return the smallest valid settings."""
    address = "http://127.0.0.1:9000"
    return {
        "node": "entry-1",
        "zone": "obihiro",
        "region": "hokkaido",
        "link_secret": "0123456789abcdef",
        "entry": {"port": 1, "ops_port": 2},
        "control": {"port": 3, "ops_port": 4},
        "admin": {"port": 5, "ops_port": 6},
        "platform": {
            "table_address": address,
            "objects_address": address,
            "weights_address": address,
            "vms_address": address,
        },
    }


def write_settings(folder: Path, text: str) -> Path:
    """Write a settings file."""
    file = folder / "settings.json"
    file.write_text(text)
    return file


def test_valid_settings_load(tmp_path: Path) -> None:
    """No process starts if a valid file is refused."""
    settings = load_settings(write_settings(tmp_path, json.dumps(valid_settings())))
    assert settings.node == "entry-1"


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"nodes": "x"}, "nodes"),
        ({"node": "Entry 1"}, "node"),
        ({"link_secret": "short"}, "link_secret"),
        ({"entry": {"port": 0, "ops_port": 2}}, "entry.port"),
        ({"entry": {"port": 1, "ops_port": 2, "drain_limit_ms": 5}}, "drain_limit_ms"),
        ({"control": {"port": 1, "ops_port": 9}}, "ports"),
        (
            {
                "entry": {
                    "port": 1,
                    "ops_port": 2,
                    "balancer_notice_s": 50.0,
                    "drain_limit_s": 10.0,
                }
            },
            "drain_limit_s",
        ),
        ({"engines": {"refuse_old_fence": "perhaps"}}, "refuse_old_fence"),
    ],
)
def test_invalid_settings_are_refused_with_the_field(
    tmp_path: Path, change: dict[str, Any], path: str
) -> None:
    """A process must refuse invalid settings at start and name the field."""
    file = write_settings(tmp_path, json.dumps({**valid_settings(), **change}))
    with pytest.raises(SettingsError) as caught:
        load_settings(file)
    assert path in f"{caught.value.path} {caught.value.reason}"


@pytest.mark.parametrize("text", ["", "{", "[]", '{"node": 1e400}'])
def test_malformed_file_is_refused(tmp_path: Path, text: str) -> None:
    """A truncated or malformed file must give a typed error, not a traceback."""
    with pytest.raises(SettingsError):
        load_settings(write_settings(tmp_path, text))
