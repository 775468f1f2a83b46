"""Dependencies of the handlers of the administration API."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from ..adapters.table import Table
from ..adapters.vms import VmList
from ..config.operations import Change
from ..core.clock import now_s
from ..core.runtime import Runtime
from ..settings.models import NodeSettings

TimelineReader = Callable[[str], Awaitable[list[dict[str, Any]]]]
"""Returns the time line events of this entry VM that mention a text."""

PlannerReader = Callable[[], Awaitable[dict[str, Any]]]
"""Returns the control program's view of groups, VMs and missing groups."""


@dataclass(slots=True)
class AdminServices:
    """Dependencies of the handlers of the API.

    `send_change` sends an accepted change to the control process at once. It does
    nothing while no link is open, because control processes also poll the table.
    """

    settings: NodeSettings
    runtime: Runtime
    table: Table
    vm_list: VmList
    send_change: Callable[[Change], None]
    is_linked: Callable[[], bool]
    async_read_timeline: TimelineReader
    async_read_planner: PlannerReader
    record_event: Callable[..., None]
    clock: Callable[[], float] = now_s
