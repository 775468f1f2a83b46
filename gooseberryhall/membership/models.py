"""Data models of nodes and of the evidence about members."""

from dataclasses import dataclass
from enum import StrEnum


class MemberState(StrEnum):
    """State that a member's engine reports."""

    IDLE = "idle"
    LOADING = "loading"
    SERVING = "serving"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class MemberHealth:
    """Health response of a member.

    `boot_id` changes when the engine restarts, which empties its memory. `group` is
    empty and `generation` is 0 while the member belongs to no group. `load_fraction` is
    the loaded part of the weights, from 0 to 1. `fence` is the highest fencing token
    that the engine has accepted.
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
    """Result of a probe, dated by a lower bound of the time of the response.

    `observed_at_s` is on the local clock of the process that holds the evidence and
    never later than the time at which the member responded. `health` is None when the
    member did not respond to the last probe.
    """

    vm: str
    health: MemberHealth | None
    observed_at_s: float


@dataclass(frozen=True, slots=True)
class Node:
    """Description of an entry VM that peers receive."""

    node: str
    zone: str
    region: str
    incarnation: str
    address: str
