"""Main module of the entry program."""

from ..config import relay as config_relay
from ..core.context import Program, ProgramContext
from ..core.program import create_main
from ..links.messages import SuspectReport
from ..membership import client as membership_client
from ..membership import live_nodes
from ..requests.service import async_on_suspect_report
from .setup import async_setup


async def _async_setup(ctx: ProgramContext) -> None:
    hub = membership_client.async_setup(ctx)
    config_relay.async_setup_client(ctx, hub)
    live_nodes.async_setup_client(ctx, hub)
    hub.subscribe(
        SuspectReport, lambda _link, report: async_on_suspect_report(ctx, report)
    )
    await async_setup(ctx, hub.async_send)


main = create_main(Program.ENTRY, _async_setup)

if __name__ == "__main__":
    main()
