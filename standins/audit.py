"""Checks the promises against what the stand-ins recorded."""

from collections import Counter
from collections.abc import Mapping

from .client import ServiceResult
from .cluster import Cluster

HTTP_OK = 200


async def async_count_runs(cluster: Cluster) -> Counter[str]:
    """Return how often the servers ran each command, by idempotency key."""
    counts: Counter[str] = Counter()
    for service in cluster.services:
        records = await cluster.async_records(service.address)
        counts.update(
            run["idempotency_key"] for run in records["runs"] if run["idempotency_key"]
        )
    return counts


def command_faults(
    commands: Mapping[str, ServiceResult], runs: Mapping[str, int]
) -> list[str]:
    """Return every command whose answer contradicts the servers' records."""
    faults = []
    for key, result in commands.items():
        count = runs.get(key, 0)
        if count > 1:
            faults.append(f"{key} ran {count} times")
        elif result.status == HTTP_OK and count != 1:
            faults.append(f"{key} was answered and did not run")
        elif result.ran == "no" and count:
            faults.append(f"{key} was reported as not run and ran")
    return faults
