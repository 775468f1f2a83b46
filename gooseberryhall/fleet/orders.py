"""Orders to model servers, as the formation of groups needs them."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from .models import BackendServer, Group, Membership


class OrderOutcome(StrEnum):
    """What became of an order."""

    # The state already holds, or the order is done.
    DONE = "done"
    STARTED = "started"
    # The order does not fit the server's state.
    UNFIT = "unfit"
    # The server has seen a higher epoch or fencing token.
    SUPERSEDED = "superseded"
    # Another server has the address.
    OTHER_SERVER = "other_server"
    # The order may still be carried out later.
    NO_ANSWER = "no_answer"


ACCEPTED = frozenset({OrderOutcome.DONE, OrderOutcome.STARTED})


class Report(Protocol):
    """What a server says of itself in a direct report."""

    @property
    def started_at_ms(self) -> int:
        """Unix time in milliseconds of the start of this life."""

    @property
    def membership(self) -> Membership | None:
        """Group of the server."""

    @property
    def staged(self) -> frozenset[str]:
        """Models whose weights are on the host."""

    @property
    def last_model(self) -> str | None:
        """Model of the server's last group since its start."""

    @property
    def slowdown(self) -> float:
        """Factor by which the server is slower than its profile."""


class Engines(Protocol):
    """Sends orders to model servers and reads their reports."""

    async def async_join(
        self, server: BackendServer, group: Group, fence: int
    ) -> OrderOutcome:
        """Tell a server to become a member of a group."""

    async def async_open(
        self, server: BackendServer, group: Group, fence: int
    ) -> OrderOutcome:
        """Tell the head of a ready group to serve."""

    async def async_leave(
        self, server: BackendServer, group: Group, fence: int
    ) -> OrderOutcome:
        """Tell a server to leave a group at once."""

    async def async_stage(
        self, server: BackendServer, model: str, fence: int
    ) -> OrderOutcome:
        """Tell a server to load a model's weights onto its host."""

    async def async_report(self, server: BackendServer) -> Report | None:
        """Return what a server says of itself, or None if it does not answer."""


@dataclass(frozen=True, slots=True)
class Lease:
    """Ownership of a zone's groups; `term` grows with each change of owner."""

    zone: str
    owner: str
    term: int
    # Version of the stored row; 0 if it is absent.
    version: int


class LeaseStore(Protocol):
    """Stores who owns the groups of each zone."""

    async def async_read_lease(self, zone: str) -> Lease | None:
        """Return the stored lease. Raises `UnavailableError`."""

    async def async_take_lease(
        self, zone: str, owner: str, after: Lease | None
    ) -> Lease:
        """Replace the lease `after` by one of the next term.

        Raises `LeaseTakenError` if another lease is stored, or `UnavailableError`.
        """
