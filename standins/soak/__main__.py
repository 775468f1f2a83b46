"""Command line of the soak."""

import asyncio
import json
import random
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path

import click

from .const import FAULTS_S
from .run import SoakResult, async_run_seed


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, help="Seeds to run.")
@click.option(
    "--count", default=1, show_default=True, help="Number of fresh seeds to run."
)
@click.option("--seconds", default=FAULTS_S, show_default=True, help="Time of faults.")
@click.option("--logs", type=click.Path(path_type=Path), help="Directory for the logs.")
def main(seeds: tuple[int, ...], count: int, seconds: float, logs: Path | None) -> None:
    """Inject random faults into node programs and check what callers see.

    Prints one JSON object for each seed; the exit code is 1 if a promise was broken.
    """
    chosen = seeds or tuple(random.sample(range(1, 1_000_000), count))
    failed = 0
    for seed in chosen:
        result = _run_seed(seed, seconds, logs)
        failed += bool(result.violations)
        click.echo(_report(result))
    click.echo(json.dumps({"seeds": len(chosen), "failed": failed}))
    sys.exit(1 if failed else 0)


def _run_seed(seed: int, seconds: float, logs: Path | None) -> SoakResult:
    if logs is not None:
        directory = logs / str(seed)
        directory.mkdir(parents=True, exist_ok=True)
        return asyncio.run(async_run_seed(seed, directory, seconds))
    with tempfile.TemporaryDirectory() as directory_name:
        return asyncio.run(async_run_seed(seed, Path(directory_name), seconds))


def _report(result: SoakResult) -> str:
    report = {
        "seed": result.seed,
        "faults": len(result.faults),
        "violations": [asdict(item) for item in result.violations],
        "outcomes": dict(sorted(result.outcomes.items())),
    }
    if result.violations:
        report["played"] = [asdict(fault) for fault in result.faults]
    return json.dumps(report)


if __name__ == "__main__":
    main()
