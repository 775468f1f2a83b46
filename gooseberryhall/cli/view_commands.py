"""Commands that show the state of the system."""

import click

from .client import AdminClient
from .context import CliContext, output_option, pass_context
from .output import explanation_lines, status_lines


@click.command()
@output_option
@pass_context
def status(cli: CliContext) -> None:
    """Show specs, groups and the revision in force."""
    view = cli.run(AdminClient.async_get_status)
    cli.show(view.model_dump(mode="json"), status_lines(view))


@click.command()
@click.argument("kind", type=click.Choice(["group", "vm", "request", "team"]))
@click.argument("name")
@output_option
@pass_context
def explain(cli: CliContext, kind: str, name: str) -> None:
    """Explain why a group, VM, request or team is in the state it is in.

    For `group`, NAME is a group or a group spec. For `request`, only the entry VM that
    answers is searched; `timeline --request` searches several.
    """
    view = cli.run(lambda client: client.async_explain(kind, name))
    cli.show(view.model_dump(mode="json"), explanation_lines(view))
