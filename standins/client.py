"""Client of the system that verifies every response."""

import json
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from .answers import expected_answer

DATA_PREFIX = b"data: "
DONE_MARKER = "[DONE]"
OK_STATUS = 200
DEFAULT_TIMEOUT_S = 60.0
MS_PER_S = 1000

Message = dict[str, str]


@dataclass(slots=True)
class ChatResult:
    """Result of one streamed chat, as its caller saw it.

    `outcome` is `whole`, `cut` (an error event, or no `[DONE]`), `wrong` (not the
    expected text) or `refused`, with `ran` from the error body.
    """

    outcome: str
    ran: str = ""
    status: int = 0
    error: str = ""
    text: str = ""
    first_token_ms: float = 0.0
    total_ms: float = 0.0
    gaps_ms: list[float] = field(default_factory=list)


@dataclass(slots=True)
class ServiceResult:
    """Result of one service call; `status` is 0 if there was no response."""

    status: int
    ran: str = ""
    body: Any = None
    error: str = ""
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class _StreamReader:
    """Collects the text of a stream and the arrival times of its tokens."""

    started_s: float
    texts: list[str] = field(default_factory=list)
    times_s: list[float] = field(default_factory=list)
    error: str = ""
    is_done: bool = False

    def read_line(self, line: bytes) -> None:
        """Parse one line of server-sent events."""
        if not line.startswith(DATA_PREFIX):
            return
        data = line[len(DATA_PREFIX) :].decode().strip()
        if data == DONE_MARKER:
            self.is_done = True
            return
        chunk = json.loads(data)
        if "error" in chunk:
            self.error = str(chunk["error"].get("code"))
            return
        for choice in chunk.get("choices", ()):
            content = choice.get("delta", {}).get("content")
            if content:
                self.texts.append(content)
                self.times_s.append(time.perf_counter())

    def result(self, expected: str) -> ChatResult:
        """Return the result of the stream, compared with the expected text."""
        text = "".join(self.texts)
        if self.error or not self.is_done:
            outcome = "cut"
        else:
            outcome = "whole" if text == expected else "wrong"
        ended_s = time.perf_counter()
        first_s = self.times_s[0] if self.times_s else ended_s
        pairs = zip(self.times_s, self.times_s[1:], strict=False)
        return ChatResult(
            outcome=outcome,
            status=OK_STATUS,
            error=self.error,
            text=text,
            first_token_ms=(first_s - self.started_s) * MS_PER_S,
            total_ms=(ended_s - self.started_s) * MS_PER_S,
            gaps_ms=[(later - earlier) * MS_PER_S for earlier, later in pairs],
        )


async def async_chat(
    session: aiohttp.ClientSession,
    address: str,
    messages: Sequence[Message],
    max_tokens: int,
    *,
    model: str,
    headers: dict[str, str],
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> ChatResult:
    """Send a streamed chat and verify its response."""
    body = {
        "model": model,
        "messages": list(messages),
        "max_tokens": max_tokens,
        "stream": True,
    }
    reader = _StreamReader(time.perf_counter())
    expected = expected_answer(messages, max_tokens)
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.post(
            f"{address}/v1/chat/completions",
            json=body,
            headers=headers,
            timeout=timeout,
        ) as response:
            if response.status != OK_STATUS:
                return await _async_parse_refusal(response)
            async for line in response.content:
                reader.read_line(line)
    except aiohttp.ClientConnectorError as exc:
        return ChatResult("refused", ran="no", error=str(exc))
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
        reader.error = reader.error or repr(exc)
    return reader.result(expected)


async def async_service_call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    *,
    headers: dict[str, str],
    body: Any = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> ServiceResult:
    """Call a plain service through the system."""
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.request(
            method, url, json=body, headers=headers, timeout=timeout
        ) as response:
            content = await response.json(content_type=None)
            result = ServiceResult(
                response.status, body=content, headers=dict(response.headers)
            )
    except aiohttp.ClientConnectorError as exc:
        return ServiceResult(0, ran="no", error=str(exc))
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
        return ServiceResult(0, ran="unknown", error=repr(exc))
    result.ran, result.error = _parse_error(content)
    return result


async def _async_parse_refusal(response: aiohttp.ClientResponse) -> ChatResult:
    try:
        content = await response.json(content_type=None)
    except ValueError:
        content = None
    ran, error = _parse_error(content)
    return ChatResult(
        "refused", ran=ran or "missing", status=response.status, error=error
    )


def _parse_error(content: Any) -> tuple[str, str]:
    error = content.get("error") if isinstance(content, dict) else None
    if not isinstance(error, dict):
        return "", str(error or "")
    return str(error.get("ran", "")), str(error.get("code", ""))
