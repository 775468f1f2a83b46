"""Zone leases, whose holder may assign the VMs of the zone.

The row `lease/<zone>` names the holder. The row `epoch/<zone>` is written only when the
holder changes. Every transaction of a holder checks the epoch row, so the table rejects
it once there is another holder. Clock values of different nodes are never compared.
"""

from dataclasses import dataclass

from ..adapters.table import ABSENT, Row, Transaction
from .const import (
    LEASE_DURATION_S,
    LEASE_POLL_PERIOD_S,
    LEASE_RENEW_PERIOD_S,
    LEASE_TAKEOVER_DELAY_OTHER_ZONE_S,
    LEASE_TAKEOVER_DELAY_S,
)


def lease_key(zone: str) -> str:
    """Return the key of the zone's lease row."""
    return f"lease/{zone}"


def epoch_key(zone: str) -> str:
    """Return the key of the epoch row, which all transactions of a holder check."""
    return f"epoch/{zone}"


@dataclass(frozen=True, slots=True)
class Holder:
    """A process that holds or contends for leases."""

    node: str
    zone: str
    incarnation: str


@dataclass(slots=True)
class Lease:
    """State of a zone's lease in this process.

    `owned` is True while this process is the last known holder. It may act only until
    `held_until_s`. A contender may take over once `seen_version`, which it first read
    at `seen_since_s`, has not changed for long enough.
    """

    zone: str
    owned: bool = False
    held_until_s: float = 0.0
    lease_version: int = ABSENT
    epoch_version: int = ABSENT
    epoch: int = 0
    seen_version: int = -1
    seen_since_s: float = 0.0
    last_call_s: float = float("-inf")
    pending: bool = False
    releasing: bool = False

    def is_held(self, now_s: float) -> bool:
        """Return whether this process may act for the zone."""
        return self.owned and now_s < self.held_until_s

    def is_renewal_due(self, now_s: float) -> bool:
        """Return whether the owner should renew."""
        return (
            self.owned
            and not self.pending
            and now_s - self.last_call_s >= LEASE_RENEW_PERIOD_S
        )

    def is_poll_due(self, now_s: float) -> bool:
        """Return whether a contender should read the rows again."""
        return (
            not self.owned
            and not self.pending
            and now_s - self.last_call_s >= LEASE_POLL_PERIOD_S
        )


def renewal_transaction(lease: Lease, holder: Holder) -> Transaction:
    """Return the transaction that extends an owned lease."""
    return Transaction(
        checks={
            lease_key(lease.zone): lease.lease_version,
            epoch_key(lease.zone): lease.epoch_version,
        },
        puts={lease_key(lease.zone): _lease_value(holder, lease.epoch)},
    )


def release_transaction(lease: Lease, holder: Holder) -> Transaction:
    """Return the transaction that lets a successor take over without a delay."""
    value = {**_lease_value(holder, lease.epoch), "released": True}
    return Transaction(
        checks={lease_key(lease.zone): lease.lease_version},
        puts={lease_key(lease.zone): value},
    )


def takeover_transaction(
    zone: str, holder: Holder, lease_row: Row | None, epoch_row: Row | None
) -> Transaction:
    """Return the transaction that makes this process the holder."""
    epoch = _epoch_of(epoch_row) + 1
    return Transaction(
        checks={
            lease_key(zone): lease_row.version if lease_row else ABSENT,
            epoch_key(zone): epoch_row.version if epoch_row else ABSENT,
        },
        puts={
            lease_key(zone): _lease_value(holder, epoch),
            epoch_key(zone): {"epoch": epoch, "node": holder.node},
        },
    )


def observe_row(
    lease: Lease, holder: Holder, lease_row: Row | None, now_s: float
) -> bool:
    """Record the row that a contender read; return whether it may write the lease."""
    version = lease_row.version if lease_row else ABSENT
    if version != lease.seen_version:
        lease.seen_version = version
        lease.seen_since_s = now_s
    if lease_row is not None and is_own_row(lease_row, holder):
        return True
    return now_s - lease.seen_since_s >= _takeover_delay_s(
        lease.zone, holder, lease_row
    )


def acquire_transaction(
    lease: Lease, holder: Holder, lease_row: Row | None, epoch_row: Row | None
) -> Transaction:
    """Return the transaction that renews this process's row or takes over the lease."""
    if lease_row is not None and is_own_row(lease_row, holder):
        adopt_own_row(lease, lease_row, epoch_row)
        return renewal_transaction(lease, holder)
    return takeover_transaction(lease.zone, holder, lease_row, epoch_row)


def adopt_own_row(lease: Lease, lease_row: Row, epoch_row: Row | None) -> None:
    """Adopt the versions of this process's row after an unconfirmed write.

    The time of that write is unknown, so the process may act only after a new renewal.
    """
    lease.owned = True
    lease.lease_version = lease_row.version
    if epoch_row is not None:
        lease.epoch_version = epoch_row.version
        lease.epoch = _epoch_of(epoch_row)


def mark_held(
    lease: Lease, transaction: Transaction, revision: int, sent_s: float
) -> None:
    """Record that a renewal or takeover was applied at `revision`."""
    lease.owned = True
    lease.lease_version = revision
    lease.seen_version = revision
    lease.held_until_s = sent_s + LEASE_DURATION_S
    epoch_value = transaction.puts.get(epoch_key(lease.zone))
    if epoch_value is not None:
        lease.epoch_version = revision
        lease.epoch = int(epoch_value["epoch"])


def mark_lost(lease: Lease) -> None:
    """Record that another or an unknown process holds the lease."""
    lease.owned = False
    lease.held_until_s = 0.0


def is_own_row(row: Row, holder: Holder) -> bool:
    """Return whether this process wrote the lease row and has not released it."""
    return row.value.get("incarnation") == holder.incarnation and not row.value.get(
        "released", False
    )


def _lease_value(holder: Holder, epoch: int) -> dict[str, object]:
    return {
        "node": holder.node,
        "incarnation": holder.incarnation,
        "epoch": epoch,
        "released": False,
    }


def _epoch_of(row: Row | None) -> int:
    return int(row.value["epoch"]) if row is not None else 0


def _takeover_delay_s(zone: str, holder: Holder, row: Row | None) -> float:
    is_free = row is None or bool(row.value.get("released", False))
    if zone == holder.zone:
        return 0.0 if is_free else LEASE_TAKEOVER_DELAY_S
    return LEASE_TAKEOVER_DELAY_S if is_free else LEASE_TAKEOVER_DELAY_OTHER_ZONE_S
