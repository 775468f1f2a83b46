"""Entry point of the administration program."""

from ..core.context import Program, ProgramContext
from ..core.program import create_main
from .service import async_setup


async def _async_setup(ctx: ProgramContext) -> None:
    await async_setup(ctx)


main = create_main(Program.ADMIN, _async_setup)

if __name__ == "__main__":
    main()
