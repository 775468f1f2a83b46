"""Data of nodes and of the evidence about members."""

from dataclasses import dataclass
from enum import StrEnum


class MemberState(StrEnum):
    """What a member's engine reports about itself."""

    IDLE = "idle"
    LOADING = "loading"
    SERVING = "serving"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class MemberHealth:
    """The health answer of one member.

    `boot_id` changes whenever the engine restarts with empty memory. `group` is empty
    and `generation` is 0 while the member belongs to no group. `load_fraction` is the
    part of the weights that is loaded, from 0 to 1. `fence` is the highest fencing
    number that the engine has accepted.
    """

    vm: str
    boot_id: str
    group: str
    generation: int
    state: MemberState
    leaving: bool
    active: int
    queued: int
    load_fraction: float = 0.0
    fence: int = 0


@dataclass(frozen=True, slots=True)
class Evidence:
    """A health answer and the latest time at which it can have been given.

    `observed_at_s` is on the local clock of the process that holds the evidence and is
    never later than the moment the member answered. `health` is None when the member
    did not answer the last probe.
    """

    vm: str
    health: MemberHealth | None
    observed_at_s: float


@dataclass(frozen=True, slots=True)
class Node:
    """An entry VM as its peers know it."""

    node: str
    zone: str
    region: str
    incarnation: str
    address: str
