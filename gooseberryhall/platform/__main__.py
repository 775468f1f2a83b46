"""Entry point of the node program on the operator's platform."""

from .early_reload import EarlyReload

EARLY_RELOAD = EarlyReload()
# SIGHUP may come while the modules of the program are imported.
EARLY_RELOAD.install()

from .program import main  # noqa: E402

if __name__ == "__main__":
    main(EARLY_RELOAD)
