"""Registration of a node and discovery of its peers."""

import asyncio
import logging
import random
from collections.abc import Callable

from ..exceptions import GooseberryhallError
from ..gossip.peers import Peers
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from ..transport.address import Address
from .directory import Directory, NodeRecord
from .settings import NodeSettings

_LOGGER = logging.getLogger(__name__)

REGISTRATION_RETRY_S = 0.5
REGISTRATION_SPREAD_S = 1.0
PEER_READS = 3
PEER_READ_PERIOD_S = 0.7


async def async_register(
    directory: Directory,
    settings: NodeSettings,
    peers: Peers,
    on_peers: Callable[[], None],
) -> None:
    """Register the address of this node, then discover its peers.

    Owners of zones know all nodes, so discovery ends when an announcement of each zone
    was received.
    """
    await _async_write_record(directory, settings)
    for _ in range(PEER_READS):
        if await _async_read_peers(directory, peers):
            on_peers()
        await asyncio.sleep(PEER_READ_PERIOD_S * random.uniform(1.0, 1.5))
        if len(peers.announcements) == len(settings.zones):
            return


async def async_write_again(directory: Directory, settings: NodeSettings) -> None:
    """Write the address of this node after the store came back from an earlier copy.

    All nodes notice that at the same moment, so their calls are spread.
    """
    await asyncio.sleep(random.uniform(0.0, REGISTRATION_SPREAD_S))
    await _async_write_record(directory, settings)


async def _async_write_record(directory: Directory, settings: NodeSettings) -> None:
    """Write the address of this node to the store; try until it succeeds."""
    address = Address(settings.host, settings.internal_port)
    record = NodeRecord(settings.node, settings.zone, address)
    while True:
        try:
            await directory.async_register(record)
        except GooseberryhallError as exc:
            log_event(_LOGGER, LogEvent.STORE_LOST, str(exc), table="nodes")
            await asyncio.sleep(REGISTRATION_RETRY_S * random.uniform(0.5, 1.5))
            continue
        return


async def _async_read_peers(directory: Directory, peers: Peers) -> bool:
    try:
        nodes = await directory.async_list_nodes()
    except GooseberryhallError as exc:
        log_event(_LOGGER, LogEvent.STORE_LOST, str(exc), table="nodes")
        return False
    now_s = asyncio.get_running_loop().time()
    for record in nodes:
        peers.add(record.node, record.zone, record.address, now_s)
    return True
