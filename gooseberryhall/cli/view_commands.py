"""Commands that show and explain the state of the system."""

import asyncio
from dataclasses import asdict
from pathlib import Path

import aiohttp
import click

from .client import AdminClient
from .context import CliContext, output_option, pass_context
from .exceptions import CliError, UnreachableError
from .node_logs import read_logs
from .output import (
    chain_data,
    chain_lines,
    explanation_lines,
    status_lines,
    timeline_lines,
)
from .request_chain import find_chain
from .route import async_explain_route, route_lines
from .timeline import MergedEvent, async_read_timelines, filter_events, merge_timelines


@click.command()
@output_option
@pass_context
def status(cli: CliContext) -> None:
    """Show specs, groups and the revision in force."""
    view = cli.run(AdminClient.async_get_status)
    cli.show(view.model_dump(mode="json"), status_lines(view))


@click.command()
@click.argument("kind", type=click.Choice(["group", "vm", "request", "team", "route"]))
@click.argument("name")
@click.option(
    "--logs",
    multiple=True,
    type=click.Path(exists=True, path_type=Path),
    help="For `request`: log file of a node program, or a directory of them.",
)
@click.option("--node", metavar="URL", help="For `route`: a node's metrics port.")
@click.option("--method", help="For `route`: method of the request.")
@click.option("--model", help="For `route`: model of the request.")
@click.option("--tokens", metavar="PROMPT,MAX_OUTPUT", help="For `route`.")
@click.option("--deadline-ms", help="For `route`: remaining time of the caller.")
@click.option("--team", help="For `route`: name of the caller's team.")
@click.option("--json", "as_json", is_flag=True, help="Same as --output json.")
@output_option
@pass_context
def explain(
    cli: CliContext,
    /,
    *,
    kind: str,
    name: str,
    logs: tuple[Path, ...],
    node: str | None,
    as_json: bool,
    **fields: str | None,
) -> None:
    """Explain why a group, VM, request or team is in the state it is in.

    For `group`, NAME is a group or a group spec. For `request`, only the entry VM that
    answers is searched; `timeline --request` searches several. With `--logs`, no
    program is asked: the request is explained from the logs of node programs.

    For `route`, NAME is HOST/PATH of a request: a node program tells where it would
    send it now, and why. Nothing is sent.
    """
    if as_json:
        cli.output = "json"
    given = {key: value for key, value in fields.items() if value is not None}
    if kind == "route":
        if node is None or logs:
            raise click.UsageError("`explain route` needs --node and takes no --logs")
        answer = asyncio.run(async_explain_route(node, name, given))
        cli.show(answer, route_lines(answer))
        return
    if given or node is not None:
        raise click.UsageError("--node and the fields of a request are for `route`")
    if logs:
        _explain_from_logs(cli, kind, name, logs)
        return
    view = cli.run(lambda client: client.async_explain(kind, name))
    cli.show(view.model_dump(mode="json"), explanation_lines(view))


def _explain_from_logs(
    cli: CliContext, kind: str, name: str, logs: tuple[Path, ...]
) -> None:
    if kind != "request":
        raise click.UsageError("--logs explains requests only")
    lines, unparsed_lines = read_logs(logs)
    if unparsed_lines:
        click.echo(f"warning: {unparsed_lines} lines are not of a node's log", err=True)
    chain = find_chain(lines, name)
    if chain is None:
        raise CliError(
            f"no line mentions request {name}",
            field="NAME",
            fix="pass the logs of the node that its caller reached",
        )
    cli.show(chain_data(chain), chain_lines(chain))


@click.command()
@click.option(
    "--ops",
    "urls",
    multiple=True,
    required=True,
    metavar="URL",
    help="Address of an ops port; repeat it for each process.",
)
@click.option("--request", help="Only events that mention this request.")
@click.option("--group", help="Only events that mention this group.")
@click.option("--vm", help="Only events that mention this VM.")
@output_option
@pass_context
def timeline(
    cli: CliContext,
    urls: tuple[str, ...],
    request: str | None,
    group: str | None,
    vm: str | None,
) -> None:
    """Show the events of several processes in one order.

    The clocks of the processes may differ. Each clock's offset is estimated from its
    reading and the midpoint of the request that fetched it, and times are shown on the
    clock of this machine. Half of the round trip bounds the error: events of two
    processes that are closer than the shown uncertainty may be in the other order.
    Events of one process always keep their order.
    """
    names = [name for name in (request, group, vm) if name is not None]
    events, unresponsive = asyncio.run(_async_read_events(urls))
    if len(unresponsive) == len(urls):
        raise UnreachableError(
            f"no process answered: {', '.join(unresponsive)}",
            field="--ops",
            fix="check the addresses of the ops ports",
        )
    for url in unresponsive:
        click.echo(f"warning: {url} does not answer; its events are missing", err=True)
    events = filter_events(events, names)
    data = {"entries": [asdict(event) for event in events], "silent": unresponsive}
    cli.show(data, timeline_lines(events))


async def _async_read_events(
    urls: tuple[str, ...],
) -> tuple[list[MergedEvent], list[str]]:
    async with aiohttp.ClientSession() as session:
        addresses = [url.rstrip("/") for url in urls]
        timelines, unresponsive = await async_read_timelines(session, addresses)
    return merge_timelines(timelines), unresponsive
