"""Node program on the operator's platform."""

import sys

import uvloop

from ..fleet.statements import ServerStatements
from ..node.directory import PlatformAdapter
from ..node.program import async_run
from ..node.settings import NodeSettings
from ..telemetry.rate_limited_logs import setup_rate_limited_logging
from ..transport.pool import ConnectionPool
from .directory import StoreDirectory
from .early_reload import EarlyReload
from .exceptions import PlatformSettingsError
from .headers import HEADER_NAMES
from .leases import RowLeaseStore
from .orders import HttpEngineClient
from .settings import load_settings
from .statements import decode_statement
from .store import Store

EXIT_SETTINGS_REFUSED = 2


def create_adapter(settings: NodeSettings) -> PlatformAdapter:
    """Return the implementations of the platform's interfaces."""
    store = Store(ConnectionPool(HEADER_NAMES.request_id), settings.store)
    statements = ServerStatements()
    return PlatformAdapter(
        header_names=HEADER_NAMES,
        directory=StoreDirectory(store, settings.heartbeat_interval_s),
        leases=RowLeaseStore(store),
        engines=HttpEngineClient(ConnectionPool(HEADER_NAMES.request_id), statements),
        statements=statements,
        decode_statement=decode_statement,
    )


def main(early_reload: EarlyReload) -> None:
    """Run the node program until SIGTERM."""
    setup_rate_limited_logging(program="node", node="", level="INFO")
    try:
        settings = load_settings()
    except PlatformSettingsError as exc:
        sys.stderr.write(f"{exc}\n")
        sys.exit(EXIT_SETTINGS_REFUSED)
    setup_rate_limited_logging(program="node", node=settings.node, level="INFO")
    adapter = create_adapter(settings)
    uvloop.run(
        async_run(
            settings,
            load_settings,
            adapter,
            reload_requested=lambda: early_reload.requested,
        )
    )
