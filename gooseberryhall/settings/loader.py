"""Loads and validates the settings file of a process."""

import json
from pathlib import Path

from pydantic import ValidationError

from .exceptions import SettingsError
from .models import NodeSettings


def load_settings(file: Path) -> NodeSettings:
    """Return the validated settings. Raises SettingsError."""
    try:
        text = file.read_text(encoding="utf-8")
        data = json.loads(text)
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(file, "(file)", str(exc)) from exc
    except json.JSONDecodeError as exc:
        location = f"line {exc.lineno} column {exc.colno}"
        raise SettingsError(file, location, exc.msg) from exc
    try:
        return NodeSettings.model_validate(data)
    except ValidationError as exc:
        first = exc.errors(include_url=False)[0]
        path = ".".join(str(part) for part in first["loc"]) or "(top level)"
        raise SettingsError(file, path, first["msg"]) from exc


def settings_schema() -> str:
    """Return the JSON schema of the settings file."""
    return json.dumps(NodeSettings.model_json_schema(), indent=2) + "\n"
