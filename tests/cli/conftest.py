"""Fixtures of the command line tests."""

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from gooseberryhall.cli.__main__ import main
from gooseberryhall.cli.const import ENV_ADMIN, ENV_TOKEN
from tests.admin.harness import EDITOR, Admin, admin_in_thread
from tests.fakes import FakeTable

# Port 9 (discard) has no listener, so connections are refused at once.
UNREACHABLE = "http://127.0.0.1:9"


@dataclass(frozen=True, slots=True)
class CommandResult:
    """Exit code and output of a command."""

    code: int
    out: str
    err: str

    @property
    def data(self) -> Any:
        """Return the parsed JSON output."""
        return json.loads(self.out)


RunCommand = Callable[..., CommandResult]


@pytest.fixture
def run(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> Iterator[RunCommand]:
    """Return a function that runs a command; no administration address is set."""
    monkeypatch.delenv(ENV_ADMIN, raising=False)
    monkeypatch.setenv(ENV_TOKEN, EDITOR)

    def run_with_arguments(*arguments: str) -> CommandResult:
        code = 0
        try:
            main(arguments)
        except SystemExit as exc:
            code = int(exc.code or 0)
        captured = capsys.readouterr()
        return CommandResult(code, captured.out, captured.err)

    yield run_with_arguments


@pytest.fixture
def admin(run: RunCommand, monkeypatch: pytest.MonkeyPatch) -> Iterator[Admin]:
    """Return a running administration program, listed after an unreachable address."""
    with admin_in_thread(FakeTable()) as running:
        monkeypatch.setenv(ENV_ADMIN, f"{UNREACHABLE} {running.address}")
        yield running


@pytest.fixture
def write(tmp_path: Path) -> Callable[..., str]:
    """Return a function that writes an objects file and returns its path."""

    def write_file(*objects: dict[str, Any], **fields: Any) -> str:
        file = tmp_path / "objects.json"
        file.write_text(json.dumps({"objects": objects, **fields}), encoding="utf-8")
        return str(file)

    return write_file
