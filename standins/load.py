"""Open-loop load generator that verifies every response."""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from .client import ChatResult, ServiceResult, async_chat, async_service_call

MS_DIGITS = 2
PERCENTILES = (50, 95, 99)


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a load; the same seed gives the same requests at the same times.

    `service_share` of the requests are fan calls, half of them commands.
    """

    entry_addresses: Sequence[str]
    token: str
    model: str
    seed: int = 1
    requests_per_s: float = 20.0
    duration_s: float = 5.0
    min_tokens: int = 10
    max_tokens: int = 60
    conversations: int = 8
    service: str = "silo"
    service_share: float = 0.0
    timeout_s: float = 60.0


@dataclass(slots=True)
class LoadReport:
    """Counts of responses, and latencies of those that were whole."""

    sent: int = 0
    whole: int = 0
    cut: int = 0
    wrong: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    service_ok: int = 0
    service_refused: Counter[str] = field(default_factory=Counter)
    errors: Counter[str] = field(default_factory=Counter)
    commands: dict[str, ServiceResult] = field(default_factory=dict)
    first_token_ms: list[float] = field(default_factory=list)
    inter_token_ms: list[float] = field(default_factory=list)

    def add_chat(self, result: ChatResult) -> None:
        """Count a chat."""
        if result.outcome == "refused":
            self.refused[result.ran] += 1
        else:
            name = result.outcome
            setattr(self, name, getattr(self, name) + 1)
        if result.error:
            self.errors[result.error] += 1
        if result.outcome == "whole":
            self.first_token_ms.append(result.first_token_ms)
            self.inter_token_ms.extend(result.gaps_ms)

    def add_service(self, result: ServiceResult) -> None:
        """Count a service call."""
        if result.status == 200:  # noqa: PLR2004
            self.service_ok += 1
        else:
            self.service_refused[result.ran or "missing"] += 1
            self.errors[result.error] += 1

    def summary(self) -> dict[str, Any]:
        """Return the counts and percentiles."""
        return {
            "sent": self.sent,
            "whole": self.whole,
            "cut": self.cut,
            "wrong": self.wrong,
            "refused": dict(self.refused),
            "service_ok": self.service_ok,
            "service_refused": dict(self.service_refused),
            "errors": dict(self.errors),
            "first_token_ms": percentiles(self.first_token_ms),
            "inter_token_ms": percentiles(self.inter_token_ms),
        }


def percentile(values: Sequence[float], rank: float) -> float:
    """Return the value at a rank from 0 to 100; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * rank / 100))
    return round(ordered[index], MS_DIGITS)


def percentiles(values: Sequence[float]) -> dict[str, float]:
    """Return the values at PERCENTILES."""
    return {f"p{rank}": percentile(values, rank) for rank in PERCENTILES}


async def async_run_load(plan: LoadPlan) -> LoadReport:
    """Send the planned requests at their times, regardless of responses."""
    rng = random.Random(plan.seed)
    report = LoadReport()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        at_s = rng.expovariate(plan.requests_per_s)
        async with asyncio.TaskGroup() as group:
            while at_s < plan.duration_s:
                await asyncio.sleep(max(0.0, start_s + at_s - loop.time()))
                group.create_task(_async_next_request(plan, rng, session, report))
                report.sent += 1
                at_s += rng.expovariate(plan.requests_per_s)
    return report


def _async_next_request(
    plan: LoadPlan,
    rng: random.Random,
    session: aiohttp.ClientSession,
    report: LoadReport,
) -> Any:
    """Return the next request, drawn now so that task order cannot change it."""
    address = rng.choice(list(plan.entry_addresses))
    if rng.random() < plan.service_share:
        return _async_fan_call(plan, rng, session, address, report)
    conversation = rng.randrange(plan.conversations)
    messages = [
        {"role": "system", "content": f"Conversation {conversation}. " * 40},
        {"role": "user", "content": f"Question {rng.random()}"},
    ]
    tokens = rng.randint(plan.min_tokens, plan.max_tokens)

    async def async_send() -> None:
        result = await async_chat(
            session,
            address,
            messages,
            tokens,
            model=plan.model,
            headers={"Authorization": f"Bearer {plan.token}"},
            timeout_s=plan.timeout_s,
        )
        report.add_chat(result)

    return async_send()


def _async_fan_call(
    plan: LoadPlan,
    rng: random.Random,
    session: aiohttp.ClientSession,
    address: str,
    report: LoadReport,
) -> Any:
    fan = rng.randrange(20)
    is_command = rng.random() < 0.5  # noqa: PLR2004
    key = f"load-{plan.seed}-{rng.getrandbits(64):016x}"
    headers = {"Authorization": f"Bearer {plan.token}"}
    url = f"{address}/services/{plan.service}/fans/{fan}"
    if is_command:
        headers["Idempotency-Key"] = key
        url += "/" + rng.choice(("start", "stop"))

    async def async_send() -> None:
        method = "POST" if is_command else "GET"
        result = await async_service_call(
            session, method, url, headers=headers, timeout_s=plan.timeout_s
        )
        report.add_service(result)
        if is_command:
            report.commands[key] = result

    return async_send()
