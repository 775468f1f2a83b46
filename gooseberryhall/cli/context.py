"""Global options and the context that runs commands."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any, Literal, TypeVar

import aiohttp
import click

from .client import AdminClient
from .const import ENV_ADMIN, ENV_TOKEN
from .output import to_json

ResultT = TypeVar("ResultT")
Output = Literal["json", "text"]


@dataclass(slots=True)
class CliContext:
    """Global options of one invocation."""

    addresses: tuple[str, ...] = ()
    token: str = ""
    output: Output = "text"

    def run(self, action: Callable[[AdminClient], Awaitable[ResultT]]) -> ResultT:
        """Run an action with a client. Raises click.UsageError and CliError."""
        self._check()

        async def async_run() -> ResultT:
            async with aiohttp.ClientSession() as session:
                client = AdminClient(session, self.addresses, self.token)
                return await action(client)

        return asyncio.run(async_run())

    def show(self, data: Any, lines: Sequence[str]) -> None:
        """Print `data` as JSON or `lines` as text, depending on the output option."""
        if self.output == "json":
            click.echo(to_json(data))
        else:
            click.echo("\n".join(lines))

    def _check(self) -> None:
        if not self.addresses:
            raise click.UsageError(
                f"no administration address: pass --admin or set {ENV_ADMIN}"
            )
        if not self.token:
            raise click.UsageError(f"no token: pass --token or set {ENV_TOKEN}")
        for address in self.addresses:
            if not address.startswith(("http://", "https://")):
                raise click.BadParameter(
                    f"{address!r} is not an address; write http://host:port",
                    param_hint="--admin",
                )


pass_context = click.make_pass_decorator(CliContext, ensure=True)


def _set_output(ctx: click.Context, _param: click.Parameter, value: Output) -> None:
    if value is not None:
        ctx.ensure_object(CliContext).output = value


# Every command accepts the option, so that operators can append it to a command line.
output_option = click.option(
    "--output",
    type=click.Choice(["json", "text"]),
    expose_value=False,
    callback=_set_output,
    help="Print JSON or text.",
)
