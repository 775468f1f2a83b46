"""Errors of the settings package."""

from pathlib import Path

from ..exceptions import InvalidInputError


class SettingsError(InvalidInputError):
    """A settings file cannot be used."""

    code = "invalid_settings"

    def __init__(self, file: Path, path: str, reason: str) -> None:
        """Store the file, the path of the field in it and the reason."""
        super().__init__(f"{file}: {path}: {reason}")
        self.file = file
        self.path = path
        self.reason = reason
