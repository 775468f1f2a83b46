"""State of the engine stand-in."""

import secrets
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from ..http import boot_time_s

BOOT_ID_BYTES = 8
MAX_RECORDS = 20_000


class EngineState(StrEnum):
    """What an engine reports about itself."""

    IDLE = "idle"
    LOADING = "loading"
    SERVING = "serving"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Command line of an engine."""

    vm: str
    platform: str
    order_token: str | None
    ignore_group_header: bool
    crash_marker: bool
    token_ms: float
    first_token_ms: float
    block_ms: float
    slots: int
    weight_bytes: int
    event_lag_s: float
    load_lag_s: float


@dataclass(slots=True)
class Faults:
    """Injected faults."""

    honour_fence: bool
    slow_factor: float = 1.0
    leaving: bool = False


@dataclass(slots=True)
class Placement:
    """The group that the engine runs, from its last accepted form order."""

    group: str = ""
    generation: int = 0
    rank: int = 0
    members: tuple[tuple[str, str], ...] = ()
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()

    @property
    def others(self) -> tuple[tuple[str, str], ...]:
        """Return names and addresses of the other members."""
        return tuple(
            item for rank, item in enumerate(self.members) if rank != self.rank
        )

    @property
    def is_leader(self) -> bool:
        """Return whether this engine takes the group's requests."""
        return bool(self.group) and self.rank == 0


@dataclass(slots=True)
class Records:
    """What the engine did."""

    runs: deque[dict[str, Any]] = field(
        default_factory=lambda: deque(maxlen=MAX_RECORDS)
    )
    orders: deque[dict[str, Any]] = field(
        default_factory=lambda: deque(maxlen=MAX_RECORDS)
    )
    refusals: deque[dict[str, Any]] = field(
        default_factory=lambda: deque(maxlen=MAX_RECORDS)
    )
    started: int = 0
    finished: int = 0
    cancelled: int = 0
    broken: int = 0
    wrong_group: int = 0

    def add_order(self, body: dict[str, Any], result: str) -> None:
        """Keep an order and its result."""
        names = ("order", "fence", "group", "generation", "rank")
        entry = {name: body.get(name) for name in names}
        self.orders.append({**entry, "result": result, "at_s": boot_time_s()})


@dataclass(slots=True)
class Engine:
    """Memory of one engine process; all of it is lost when the process ends.

    `loaded` holds model and version of the weights in memory, which stay there after a
    release. `joined` holds the boot id that the lead saw for each other member, `lost`
    the members that it lost since.
    """

    options: EngineOptions
    faults: Faults
    boot_id: str = field(default_factory=lambda: secrets.token_hex(BOOT_ID_BYTES))
    placement: Placement = field(default_factory=Placement)
    fence: int = 0
    load_fraction: float = 0.0
    loaded: tuple[str, str] = ("", "")
    joined: dict[str, str] = field(default_factory=dict)
    lost: set[str] = field(default_factory=set)
    records: Records = field(default_factory=Records)

    def state(self) -> EngineState:
        """Return the state; a lead serves only with all of its members."""
        if not self.placement.group:
            return EngineState.IDLE
        if self.load_fraction < 1:
            return EngineState.LOADING
        if not self.placement.is_leader:
            return EngineState.SERVING
        if self.lost:
            return EngineState.FAILED
        if len(self.joined) < len(self.placement.others):
            return EngineState.LOADING
        return EngineState.SERVING

    def place(self, placement: Placement) -> None:
        """Run another group, or none, with nothing loaded."""
        self.placement = placement
        self.load_fraction = 0.0
        self.joined.clear()
        self.lost.clear()
