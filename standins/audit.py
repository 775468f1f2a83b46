"""Check the responses to commands against the runs that the servers recorded."""

from collections import Counter
from collections.abc import Mapping

from .client import ServiceResult
from .cluster import Cluster

HTTP_OK = 200


async def async_count_runs(cluster: Cluster) -> Counter[str]:
    """Return how often the servers ran each command, by its idempotency key."""
    counts: Counter[str] = Counter()
    for service in cluster.services:
        records = await cluster.async_records(service.address)
        counts.update(
            run["idempotency_key"] for run in records["runs"] if run["idempotency_key"]
        )
    return counts


def find_command_violations(
    commands: Mapping[str, ServiceResult], runs: Mapping[str, int]
) -> list[str]:
    """Describe each command whose response contradicts the servers' records."""
    violations = []
    for key, result in commands.items():
        count = runs.get(key, 0)
        if count > 1:
            violations.append(f"{key} ran {count} times")
        elif result.status == HTTP_OK and count != 1:
            violations.append(f"{key} succeeded and did not run")
        elif result.ran == "no" and count:
            violations.append(f"{key} was reported as not run and ran")
    return violations
