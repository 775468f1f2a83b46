"""State, options and records of the engine stand-in."""

import secrets
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from ..http import boot_time_s

BOOT_ID_BYTES = 8
MAX_RECORDS = 20_000


class EngineState(StrEnum):
    """State that an engine reports in its health."""

    IDLE = "idle"
    LOADING = "loading"
    SERVING = "serving"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Command line options of an engine."""

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
    """Faults that tests inject."""

    honour_fence: bool
    slow_factor: float = 1.0
    leaving: bool = False


@dataclass(slots=True)
class Placement:
    """Group of the engine, as its last accepted form order describes it."""

    group: str = ""
    generation: int = 0
    rank: int = 0
    members: tuple[tuple[str, str], ...] = ()
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()

    @property
    def other_members(self) -> tuple[tuple[str, str], ...]:
        """Return the names and addresses of the other members."""
        return tuple(
            item for rank, item in enumerate(self.members) if rank != self.rank
        )

    @property
    def is_leader(self) -> bool:
        """Return whether this engine takes the requests of the group."""
        return bool(self.group) and self.rank == 0


@dataclass(slots=True)
class Records:
    """Counters and lists for `/_records`; the field names are its keys."""

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

    def record_order(self, body: dict[str, Any], result: str) -> None:
        """Record an order and its result."""
        names = ("order", "fence", "group", "generation", "rank")
        record = {name: body.get(name) for name in names}
        self.orders.append({**record, "result": result, "at_s": boot_time_s()})


@dataclass(slots=True)
class Engine:
    """State of one engine process, which is lost when the process ends.

    `loaded_weights` is the model and version of the weights in memory, which a release
    does not unload. In a leader, `joined` holds the boot id of each other member that
    has joined, and `lost` the members that were lost after joining.
    """

    options: EngineOptions
    faults: Faults
    boot_id: str = field(default_factory=lambda: secrets.token_hex(BOOT_ID_BYTES))
    placement: Placement = field(default_factory=Placement)
    fence: int = 0
    load_fraction: float = 0.0
    loaded_weights: tuple[str, str] = ("", "")
    joined: dict[str, str] = field(default_factory=dict)
    lost: set[str] = field(default_factory=set)
    records: Records = field(default_factory=Records)

    def state(self) -> EngineState:
        """Return the state; a leader serves only if all members have joined."""
        if not self.placement.group:
            return EngineState.IDLE
        if self.load_fraction < 1:
            return EngineState.LOADING
        if not self.placement.is_leader:
            return EngineState.SERVING
        if self.lost:
            return EngineState.FAILED
        if len(self.joined) < len(self.placement.other_members):
            return EngineState.LOADING
        return EngineState.SERVING

    def set_placement(self, placement: Placement) -> None:
        """Switch to another group, or to none, and reset the progress of loading."""
        self.placement = placement
        self.load_fraction = 0.0
        self.joined.clear()
        self.lost.clear()
