"""The entry program."""

from ..core.context import Program, ProgramContext
from ..core.program import create_main
from ..links.messages import Message
from .setup import async_setup


async def _async_setup(ctx: ProgramContext) -> None:
    await async_setup(ctx, _send)


def _send(_message: Message) -> None:
    """Drop a message; the link to the control process is not connected yet."""


main = create_main(Program.ENTRY, _async_setup)

if __name__ == "__main__":
    main()
