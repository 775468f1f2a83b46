"""Runs the administration API with an in-memory table."""

import asyncio
import hashlib
import itertools
import json
import threading
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp

from gooseberryhall.adapters.exceptions import VmListUnavailableError
from gooseberryhall.admin.service import async_setup
from gooseberryhall.core.context import Program, ProgramContext
from gooseberryhall.core.runtime import Runtime
from gooseberryhall.core.state import Identity, State
from gooseberryhall.core.timer import TimerService
from gooseberryhall.groups.models import Vm
from gooseberryhall.settings.models import AdminSettings, NodeSettings
from gooseberryhall.telemetry.ops import OpsState
from gooseberryhall.telemetry.timeline import Timeline
from tests.fakes import FakeTable

EDITOR = "editor-token"
READER = "reader-token"
START_LIMIT_S = 10
_APP_NUMBERS = itertools.count()

SETTINGS: dict[str, Any] = {
    "node": "obihiro-1",
    "zone": "obihiro",
    "region": "hokkaido",
    "link_secret": "0123456789abcdef",
    "entry": {"port": 1, "ops_port": 2},
    "control": {"port": 3, "ops_port": 4},
    "admin": {
        "port": 5,
        "ops_port": 6,
        "editor_token_sha256": [hashlib.sha256(EDITOR.encode()).hexdigest()],
        "reader_token_sha256": [hashlib.sha256(READER.encode()).hexdigest()],
    },
    "platform": {
        "table_address": "http://127.0.0.1:1",
        "objects_address": "http://127.0.0.1:1",
        "weights_address": "http://127.0.0.1:1",
        "vms_address": "http://127.0.0.1:1",
    },
}


class FakeVmList:
    """A VM list that is unavailable until `vms` is set."""

    def __init__(self) -> None:
        """Create a list that is unavailable."""
        self.vms: tuple[Vm, ...] | None = None

    async def async_list(self) -> tuple[Vm, ...]:
        """Return all listed VMs. Raises VmListUnavailableError."""
        if self.vms is None:
            raise VmListUnavailableError("VM list is down")
        return self.vms


@dataclass(slots=True)
class Admin:
    """A running administration program."""

    ctx: ProgramContext
    table: FakeTable
    vm_list: FakeVmList
    address: str

    async def async_call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        token: str | None = EDITOR,
    ) -> tuple[int, Any]:
        """Call the API; bodies that are not bytes are sent as JSON."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        headers = {} if token is None else {"Authorization": f"Bearer {token}"}
        async with self.ctx.session.request(
            method,
            self.address + path,
            data=None if body is None else data,
            headers=headers,
        ) as response:
            return response.status, await response.json()


def create_context(session: aiohttp.ClientSession, stack: AsyncExitStack) -> Any:
    """Return a context whose admin port is chosen by the operating system."""
    settings = NodeSettings.model_validate(SETTINGS)
    admin = AdminSettings.model_construct(**settings.admin.model_dump() | {"port": 0})
    settings = settings.model_copy(update={"admin": admin})
    return ProgramContext(
        program=Program.ADMIN,
        settings=settings,
        runtime=Runtime(State(Identity(settings.node, settings.zone, settings.region))),
        timer=TimerService(),
        session=session,
        stack=stack,
        ops=OpsState(Timeline()),
        incarnation="1",
    )


@asynccontextmanager
async def running_admin(table: FakeTable) -> AsyncIterator[Admin]:
    """Run the API in the current event loop."""
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        ctx = create_context(session, stack)
        stack.push_async_callback(ctx.async_cancel_tasks)
        name = f"admin-{next(_APP_NUMBERS)}"
        vm_list = FakeVmList()
        host, port = await async_setup(ctx, table=table, vm_list=vm_list, name=name)
        yield Admin(ctx, table, vm_list, f"http://{host}:{port}")


@contextmanager
def admin_in_thread(table: FakeTable) -> Iterator[Admin]:
    """Run the API in another thread, for clients that run their own event loop."""
    ready = threading.Event()
    running: list[tuple[Admin, asyncio.AbstractEventLoop, asyncio.Event]] = []

    async def async_run() -> None:
        async with running_admin(table) as admin:
            stop = asyncio.Event()
            running.append((admin, asyncio.get_running_loop(), stop))
            ready.set()
            await stop.wait()

    thread = threading.Thread(target=asyncio.run, args=(async_run(),))
    thread.start()
    try:
        assert ready.wait(START_LIMIT_S), "admin did not start"
        yield running[0][0]
    finally:
        if running:
            _, loop, stop = running[0]
            loop.call_soon_threadsafe(stop.set)
        thread.join(START_LIMIT_S)
