"""Entry point of the command line for operators."""

import sys
from collections.abc import Sequence

import click

from . import config_commands, local_commands, view_commands
from .const import ENV_ADMIN, ENV_TOKEN, PROGRAM_NAME
from .context import CliContext, output_option
from .exceptions import CliError
from .output import to_json


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--admin",
    "addresses",
    multiple=True,
    envvar=ENV_ADMIN,
    metavar="URL",
    help="Address of an administration program; repeat it to name others that are "
    f"tried when one does not answer. [env: {ENV_ADMIN}, separated by spaces]",
)
@click.option(
    "--token",
    envvar=ENV_TOKEN,
    default="",
    help=f"Reader or editor token; the variable {ENV_TOKEN} keeps it out of the "
    "list of processes.",
)
@output_option
@click.pass_context
def cli(ctx: click.Context, addresses: tuple[str, ...], token: str) -> None:
    """Manage a gooseberryhall deployment.

    Exit codes: 0 success, 1 the check or edit failed, 2 usage, 3 conflict with another
    edit, 4 not reachable.
    """
    context = ctx.ensure_object(CliContext)
    context.addresses = addresses
    context.token = token


for _command in (
    config_commands.apply,
    config_commands.get,
    config_commands.delete,
    config_commands.label,
    config_commands.plan,
    config_commands.drain,
    config_commands.undrain,
    view_commands.status,
    view_commands.explain,
    view_commands.timeline,
    local_commands.config,
    local_commands.completion,
):
    cli.add_command(_command)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line and exit with its code."""
    context = CliContext()
    try:
        cli.main(
            arguments if arguments is None else list(arguments),
            prog_name=PROGRAM_NAME,
            obj=context,
        )
    except CliError as exc:
        _show_error(context, exc)
        sys.exit(exc.exit_code)


def _show_error(context: CliContext, exc: CliError) -> None:
    if context.output == "json":
        error = {"code": exc.code, "message": exc.message, **exc.details}
        error |= {"field": exc.field or None, "fix": exc.fix or None}
        click.echo(to_json({"error": error}), err=True)
    else:
        click.echo("\n".join(exc.lines()), err=True)


if __name__ == "__main__":
    main()
