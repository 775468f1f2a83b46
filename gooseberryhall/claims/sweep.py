"""Removes expired claims and their stored responses."""

from collections.abc import Iterable

from result import Ok

from ..adapters.objects import ObjectStore
from ..adapters.table import ABSENT, Row, Table, Transaction
from .const import RETENTION_S, SWEEP_PERIOD_S, SWEEP_SHARDS
from .exceptions import MalformedClaimError
from .models import Claim

SWEEP_KEY = "sweep/claims"


async def async_sweep(
    table: Table, objects: ObjectStore, teams: Iterable[str], wall_time_s: float
) -> int:
    """Remove the expired claims of the next shard; return how many were removed.

    Does nothing when another node has swept a shard within the period. Raises
    TableUnavailableError and ObjectStoreUnavailableError.
    """
    shard = await _async_acquire_shard(table, wall_time_s)
    if shard is None:
        return 0
    removed = 0
    for team in teams:
        snapshot = await table.async_read_prefix(f"claim/{team}/{shard:02x}")
        for row in snapshot.rows:
            if _is_expired(row, wall_time_s):
                removed += await _async_remove(table, objects, row)
    return removed


async def _async_acquire_shard(table: Table, wall_time_s: float) -> int | None:
    row = await table.async_read(SWEEP_KEY)
    swept_at_s = float(row.value["swept_at_s"]) if row else 0.0
    if wall_time_s - swept_at_s < SWEEP_PERIOD_S:
        return None
    shard = (int(row.value["shard"]) + 1) % SWEEP_SHARDS if row else 0
    value = {"shard": shard, "swept_at_s": wall_time_s}
    version = row.version if row else ABSENT
    committed = await table.async_commit(
        Transaction({SWEEP_KEY: version}, {SWEEP_KEY: value})
    )
    return shard if isinstance(committed, Ok) else None


def _is_expired(row: Row, wall_time_s: float) -> bool:
    try:
        claim = Claim.from_value(row.value)
    except MalformedClaimError:
        # A newer version may have written the row, so it is kept.
        return False
    return wall_time_s - claim.created_at_s > RETENTION_S


async def _async_remove(table: Table, objects: ObjectStore, row: Row) -> int:
    object_key = row.value.get("object_key")
    if object_key:
        await objects.async_delete(str(object_key))
    committed = await table.async_commit(
        Transaction({row.key: row.version}, deletes=(row.key,))
    )
    return 1 if isinstance(committed, Ok) else 0
