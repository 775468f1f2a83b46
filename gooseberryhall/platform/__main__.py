"""Runs the node program on the users' platform."""

import sys

import uvloop

from ..node.directory import PlatformParts
from ..node.program import async_run
from ..node.settings import NodeSettings
from ..telemetry.rate_limited_logs import setup_rate_limited_logging
from ..transport.pool import ConnectionPool
from .directory import StoreDirectory
from .exceptions import PlatformSettingsError
from .headers import WIRE
from .leases import RowLeases
from .orders import EngineClient
from .settings import load_settings
from .store import Store

EXIT_SETTINGS_REFUSED = 2


def create_parts(settings: NodeSettings) -> PlatformParts:
    """Return the platform's side of the node program."""
    store = Store(ConnectionPool(WIRE.request_id), settings.store)
    return PlatformParts(
        wire=WIRE,
        directory=StoreDirectory(store),
        leases=RowLeases(store),
        engines=EngineClient(ConnectionPool(WIRE.request_id)),
    )


def main() -> None:
    """Run until SIGTERM."""
    setup_rate_limited_logging(program="node", node="", level="INFO")
    try:
        settings = load_settings()
    except PlatformSettingsError as exc:
        sys.stderr.write(f"{exc}\n")
        sys.exit(EXIT_SETTINGS_REFUSED)
    setup_rate_limited_logging(program="node", node=settings.node, level="INFO")
    uvloop.run(async_run(settings, load_settings, create_parts(settings)))


if __name__ == "__main__":
    main()
