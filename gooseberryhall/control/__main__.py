"""Entry point of the control program."""

from ..core.context import Program
from ..core.program import create_main
from .setup import async_setup

main = create_main(Program.CONTROL, async_setup)

if __name__ == "__main__":
    main()
