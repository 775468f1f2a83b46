"""Event handlers for zone leases."""

from typing import TYPE_CHECKING

from ..adapters.table import Conflict, Transaction
from ..core.effects import Effect
from ..telemetry.catalogue import LogEvent
from .const import ANNOUNCEMENT_TIMEOUT_S
from .effects import ReadLease, RecordGroupEvent, WriteLease
from .events import LeaseRead, LeaseWritten
from .lease import (
    Holder,
    Lease,
    acquire_transaction,
    adopt_own_row,
    epoch_key,
    is_own_row,
    lease_key,
    mark_held,
    mark_lost,
    observe_row,
    release_transaction,
    renewal_transaction,
)
from .state import GroupsState

if TYPE_CHECKING:
    from ..core.state import State


def holder_of(state: "State") -> Holder:
    """Return this process as a lease holder."""
    identity = state.identity
    return Holder(identity.node, identity.zone, state.groups.incarnation)


def reduce_lease_tick(
    groups: GroupsState, holder: Holder, zone: str, now_s: float
) -> list[Effect]:
    """Renew an owned lease, or poll the lease of another holder."""
    lease = groups.leases.setdefault(zone, Lease(zone))
    if lease.is_renewal_due(now_s):
        return [_write(lease, renewal_transaction(lease, holder), now_s)]
    if lease.is_poll_due(now_s) and (
        zone == holder.zone or _is_unannounced(groups, zone, now_s)
    ):
        lease.pending = True
        lease.last_call_s = now_s
        return [ReadLease(zone)]
    return []


def _is_unannounced(groups: GroupsState, zone: str, now_s: float) -> bool:
    """Return whether the zone's holder has not announced its groups recently.

    If all nodes read the leases of all zones, they would exhaust the table's read
    capacity.
    """
    view = groups.views.get(zone)
    return view is None or now_s - view.received_s > ANNOUNCEMENT_TIMEOUT_S


def reduce_lease_read(state: "State", event: LeaseRead, now_s: float) -> list[Effect]:
    """Acquire the lease if it is free or was not renewed for long enough."""
    lease = state.groups.leases[event.zone]
    lease.pending = False
    if not event.ok or state.groups.stopping:
        return []
    holder = holder_of(state)
    if not observe_row(lease, holder, event.lease_row, now_s):
        return []
    if not event.with_epoch:
        lease.pending = True
        return [ReadLease(event.zone, with_epoch=True)]
    transaction = acquire_transaction(lease, holder, event.lease_row, event.epoch_row)
    return [_write(lease, transaction, now_s)]


def reduce_lease_written(
    state: "State", event: LeaseWritten, now_s: float
) -> list[Effect]:
    """Record whether this process now holds the lease."""
    lease = state.groups.leases[event.zone]
    lease.pending = False
    was_owned = lease.owned
    if event.revision is not None and lease.releasing:
        mark_lost(lease)
    elif event.revision is not None:
        mark_held(lease, event.transaction, event.revision, event.sent_s)
    elif event.conflict is not None:
        _apply_conflict(lease, holder_of(state), event.conflict)
    if state.groups.stopping:
        return _release_if_owned(lease, holder_of(state), now_s)
    if lease.owned == was_owned:
        return []
    gained = lease.owned
    number = LogEvent.LEASE_GAINED if gained else LogEvent.LEASE_LOST
    message = "lease gained" if gained else "lease lost"
    fields = (("zone", lease.zone), ("epoch", lease.epoch))
    return [RecordGroupEvent(number, message, fields)]


def reduce_leases_released(
    groups: GroupsState, holder: Holder, now_s: float
) -> list[Effect]:
    """Release all owned leases, so that successors need not wait."""
    effects: list[Effect] = []
    for lease in groups.leases.values():
        effects += _release_if_owned(lease, holder, now_s)
    return effects


def _release_if_owned(lease: Lease, holder: Holder, now_s: float) -> list[Effect]:
    """Release the lease now, or after the pending renewal has ended."""
    lease.held_until_s = 0.0
    if not lease.owned or lease.pending:
        return []
    effect = _write(lease, release_transaction(lease, holder), now_s)
    lease.releasing = True
    return [effect]


def _write(lease: Lease, transaction: Transaction, now_s: float) -> WriteLease:
    lease.pending = True
    lease.last_call_s = now_s
    return WriteLease(lease.zone, transaction, now_s)


def _apply_conflict(lease: Lease, holder: Holder, conflict: Conflict) -> None:
    """Determine the holder from the conflicting rows."""
    row = conflict.rows.get(lease_key(lease.zone))
    epoch_changed = epoch_key(lease.zone) in conflict.rows
    if lease.owned and row and is_own_row(row, holder) and not epoch_changed:
        # An earlier renewal was applied but its response was lost.
        adopt_own_row(lease, row, None)
        lease.last_call_s = float("-inf")
        return
    mark_lost(lease)
