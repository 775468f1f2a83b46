"""Commands that run without a connection."""

from pathlib import Path

import click
from click.shell_completion import get_completion_class
from pydantic import ValidationError
from pydantic_core import ErrorDetails

from ..settings.exceptions import SettingsError
from ..settings.loader import load_settings
from .const import COMPLETION_VARIABLE, PROGRAM_NAME
from .context import CliContext, output_option, pass_context
from .exceptions import CliError

SETTINGS_DOCUMENT = "docs/configuration.md"
_FIXES_BY_ERROR_TYPE = {
    "extra_forbidden": "remove this key or correct its spelling",
    "missing": "add this key",
    "string_pattern_mismatch": "write a value that matches the pattern",
    "greater_than_equal": "raise the value",
    "greater_than": "raise the value",
    "less_than_equal": "lower the value",
}


@click.group(name="config")
def config() -> None:
    """Check files of a deployment."""


@config.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@output_option
@pass_context
def validate(cli: CliContext, file: Path) -> None:
    """Check the settings FILE of an entry VM, without a connection."""
    try:
        settings = load_settings(file)
    except SettingsError as exc:
        raise _create_settings_error(file, exc) from exc
    data = {"valid": True, "node": settings.node, "zone": settings.zone}
    cli.show(data, [f"{file}: valid settings of {settings.node} in {settings.zone}"])


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(ctx: click.Context, shell: str) -> None:
    """Print the completion script for SHELL."""
    completion_class = get_completion_class(shell)
    if completion_class is None:
        raise click.BadParameter(f"no completion for {shell}", ctx)
    root = ctx.find_root().command
    script = completion_class(root, {}, PROGRAM_NAME, COMPLETION_VARIABLE)
    click.echo(script.source())


def _create_settings_error(file: Path, exc: SettingsError) -> CliError:
    """Return an error that lists all invalid fields, not only the first one."""
    cause = exc.__cause__
    if not isinstance(cause, ValidationError):
        return CliError(
            f"{file}: {exc.reason}",
            field=exc.path,
            fix="write a readable JSON file",
            code=exc.code,
        )
    errors = [
        {"field": _field_path(item), "message": item["msg"], "fix": _suggest_fix(item)}
        for item in cause.errors(include_url=False, include_input=False)
    ]
    lines = [f"{e['field']}: {e['message']}\n  fix: {e['fix']}" for e in errors]
    return CliError(
        f"{file} has {len(errors)} errors",
        fix=f"correct the named fields; see {SETTINGS_DOCUMENT}",
        code=exc.code,
        explanation=lines,
        details={"errors": errors},
    )


def _field_path(error: ErrorDetails) -> str:
    return ".".join(str(part) for part in error["loc"]) or "(top level)"


def _suggest_fix(error: ErrorDetails) -> str:
    return _FIXES_BY_ERROR_TYPE.get(error["type"], "correct the value")
