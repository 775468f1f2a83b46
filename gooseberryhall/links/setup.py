"""Creates the link hub of a program."""

from ..core.context import ProgramContext
from .hub import LinkHub
from .identity import LinkIdentity, Role
from .metrics import collect_traffic


def create_hub(ctx: ProgramContext) -> LinkHub:
    """Return a hub with the identity of this program."""
    settings = ctx.settings
    ctx.ops.add_collector(collect_traffic)
    return LinkHub(
        LinkIdentity(
            node=settings.node,
            zone=settings.zone,
            region=settings.region,
            role=Role(ctx.program.value),
            incarnation=ctx.incarnation,
            secret=settings.link_secret,
        )
    )
