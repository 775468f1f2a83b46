"""Interfaces for orders to model servers and for leases of zones."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from .models import BackendServer, Group, Membership


class OrderOutcome(StrEnum):
    """Outcome of an order."""

    # The order was carried out, or the server was already in that state.
    DONE = "done"
    STARTED = "started"
    # The order does not fit the server's state.
    UNFIT = "unfit"
    # The server has seen a higher epoch or fencing token.
    SUPERSEDED = "superseded"
    # Another server uses the address.
    OTHER_SERVER = "other_server"
    # The server stated that it did nothing; the order may be sent again.
    REFUSED = "refused"
    # The order may have been carried out, or may be carried out later.
    NO_ANSWER = "no_answer"


ACCEPTED = frozenset({OrderOutcome.DONE, OrderOutcome.STARTED})
# Outcomes of an order to leave after which the server may still be in its group.
NOT_LEFT = frozenset(
    {OrderOutcome.REFUSED, OrderOutcome.NO_ANSWER, OrderOutcome.SUPERSEDED}
)


class Report(Protocol):
    """State that a server returned when it was queried directly."""

    @property
    def started_at_ms(self) -> int:
        """Unix time in milliseconds at which this incarnation started."""

    @property
    def membership(self) -> Membership | None:
        """Membership in a group, or None."""

    @property
    def staged(self) -> frozenset[str]:
        """Models whose weights are on the host."""

    @property
    def last_model(self) -> str | None:
        """Model of the server's last group since its start."""

    @property
    def slowdown(self) -> float:
        """Factor by which the server is slower than its profile."""


class EngineClient(Protocol):
    """Client that sends orders to model servers and queries their state.

    The fencing token of an order is the term of the zone's owner.
    """

    async def async_join(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        """Order a server to join a group."""

    async def async_open(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        """Order the leader of a ready group to serve."""

    async def async_leave(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        """Order a server to leave a group immediately."""

    async def async_stage(
        self, server: BackendServer, model: str, fencing_token: int
    ) -> OrderOutcome:
        """Order a server to load the weights of a model onto its host."""

    async def async_fetch_report(self, server: BackendServer) -> Report | None:
        """Return the state that a server reports, or None if it does not answer."""


@dataclass(frozen=True, slots=True)
class Lease:
    """Ownership of a zone's groups; `term` grows with each change of owner."""

    zone: str
    # Name of the node; empty if no lease is stored.
    owner: str
    term: int
    # Version of the stored row; 0 if it is absent.
    version: int
    # Lowest term of the next lease; see `ownership.next_term`.
    next_term: int
    # Era of the store in which the lease was read or written; None if it states none.
    era: int | None = None


class LeaseStore(Protocol):
    """Store of the leases that make nodes owners of zones."""

    async def async_read_lease(self, zone: str) -> Lease:
        """Return the stored lease, or one without owner. Raises `UnavailableError`."""

    async def async_acquire_lease(
        self, owner: str, previous: Lease, later_than: int
    ) -> Lease:
        """Replace the lease `previous` by one of a term above `later_than`.

        Raises `LeaseConflictError` if another lease is stored or if the store went back
        since `previous` was read, or `UnavailableError`.
        """
