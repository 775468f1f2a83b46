"""Adapter to the request API of the engines: streams and cache events.

Each stream uses a new connection. A pooled connection that was lost without a reset
would not be detected before the first-token timeout.
"""

import json
from dataclasses import dataclass
from typing import Any

import aiohttp

from ..const import (
    HEADER_BOOT_ID,
    HEADER_DEADLINE_MS,
    HEADER_GENERATION,
    HEADER_GROUP,
    HEADER_PRIORITY,
    HEADER_REQUEST_ID,
)
from .exceptions import (
    EchoMismatchError,
    EngineRefusedError,
    EngineUnavailableError,
    MalformedResponseError,
    NotConnectedError,
    SequenceError,
    StreamBrokenError,
)

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 1.0
MAX_EVENT_BYTES = 1024 * 1024
MAX_ERROR_BYTES = 16 * 1024
FIRST_SEQUENCE_NUMBER = 1

_HTTP_OK = 200
_DONE = b"[DONE]"
_EVENT_END = b"\n\n"
_ID_FIELD = b"id: "
_DATA_FIELD = b"data: "
_ERROR_PREFIXES = (b'{"error"', b'{ "error"')

_STREAM_TIMEOUT = aiohttp.ClientTimeout(
    total=None, connect=CONNECT_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
)
_CALL_TIMEOUT = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)


@dataclass(frozen=True, slots=True)
class EngineTarget:
    """The engine that receives a request, with the identity that it must echo."""

    address: str
    group: str
    generation: int
    boot_id: str


@dataclass(frozen=True, slots=True)
class EngineCall:
    """A request to an engine; `body` requests a streamed response."""

    request_id: str
    priority: int
    deadline_ms: int | None
    body: bytes


class EngineStream:
    """An open response stream of one request that validates every chunk."""

    def __init__(
        self, response: aiohttp.ClientResponse, request_id: str, after: int
    ) -> None:
        """Read `response`, whose next chunk must have the number `after + 1`."""
        self._response = response
        self._request_id = request_id
        self._id_prefixes = (
            b'{"id":"%b"' % request_id.encode(),
            b'{"id": "%b"' % request_id.encode(),
        )
        self._buffer = b""
        self._error: StreamBrokenError | None = None
        self.last_seq = after
        self.done = False

    async def async_read(self) -> list[bytes]:
        """Wait for chunks and return their data without the end marker.

        Sets `done` when the end marker was received. Raises StreamBrokenError.
        """
        if self._error is not None:
            raise self._error
        try:
            received = await self._response.content.readany()
        except (aiohttp.ClientError, OSError) as exc:
            raise StreamBrokenError(str(exc) or type(exc).__name__) from exc
        if not received:
            raise StreamBrokenError("the engine closed the stream before its end")
        *events, self._buffer = (self._buffer + received).split(_EVENT_END)
        if len(self._buffer) > MAX_EVENT_BYTES:
            self._error = SequenceError("the engine sent an oversize event")
        return self._parse_events(events)

    def close(self) -> None:
        """Close the connection."""
        self._response.close()

    def _parse_events(self, events: list[bytes]) -> list[bytes]:
        """Return the data of all events before the first invalid one.

        The error of the invalid event is raised by the next read if chunks precede it.
        """
        chunks: list[bytes] = []
        for event in events:
            try:
                data = self._parse_event(event)
            except StreamBrokenError as exc:
                self._error = exc
                if not chunks:
                    raise
                return chunks
            if data is not None:
                chunks.append(data)
        return chunks

    def _parse_event(self, event: bytes) -> bytes | None:
        if self.done:
            raise SequenceError("the engine sent a chunk after the end marker")
        id_line, _, data_line = event.partition(b"\n")
        if not id_line.startswith(_ID_FIELD) or not data_line.startswith(_DATA_FIELD):
            self._check_unnumbered_event(event)
            return None
        data = data_line[len(_DATA_FIELD) :]
        self._check_sequence(id_line[len(_ID_FIELD) :])
        if data == _DONE:
            self.done = True
            return None
        self._check_request_id(data)
        # Counted only after validation, because a refused chunk is requested again.
        self.last_seq += 1
        return data

    def _check_unnumbered_event(self, event: bytes) -> None:
        """Accept comments only, as an unnumbered end marker may hide lost chunks."""
        if _DATA_FIELD + _ERROR_PREFIXES[0] in event:
            raise StreamBrokenError("the engine failed the stream")
        if event and not event.startswith(b":"):
            raise SequenceError("the engine sent an event without a number")

    def _check_sequence(self, number: bytes) -> None:
        if not number.isdigit() or int(number) != self.last_seq + 1:
            raise SequenceError(
                f"expected the sequence number {self.last_seq + 1}, got {number[:20]!r}"
            )

    def _check_request_id(self, data: bytes) -> None:
        if data.startswith(self._id_prefixes):
            return
        if data.startswith(_ERROR_PREFIXES):
            raise StreamBrokenError("the engine failed the stream")
        try:
            received_id = json.loads(data)["id"]
        except (ValueError, KeyError, TypeError, RecursionError) as exc:
            raise SequenceError("a chunk has no request id") from exc
        if received_id != self._request_id:
            raise SequenceError("a chunk has the id of another request")


async def async_open_stream(
    session: aiohttp.ClientSession, target: EngineTarget, call: EngineCall
) -> EngineStream:
    """Send a request, verify the echoed identity and return the stream.

    Raises NotConnectedError, EngineRefusedError and StreamBrokenError.
    """
    headers = _identity_headers(target, call.request_id)
    headers["Content-Type"] = "application/json"
    headers[HEADER_PRIORITY] = str(call.priority)
    if call.deadline_ms is not None:
        headers[HEADER_DEADLINE_MS] = str(call.deadline_ms)
    url = f"{target.address}/v1/chat/completions"
    response = await _async_request(session, "POST", url, headers, call.body)
    return await _async_check_response(
        response, target, call.request_id, FIRST_SEQUENCE_NUMBER - 1
    )


async def async_resume_stream(
    session: aiohttp.ClientSession, target: EngineTarget, request_id: str, after: int
) -> EngineStream:
    """Resume a stream after a sequence number on a new connection.

    Raises NotConnectedError, EngineRefusedError and StreamBrokenError.
    """
    url = f"{target.address}/v1/streams/{request_id}?after={after}"
    headers = _identity_headers(target, request_id)
    response = await _async_request(session, "GET", url, headers, None)
    return await _async_check_response(response, target, request_id, after)


async def async_cancel_stream(
    session: aiohttp.ClientSession, target: EngineTarget, request_id: str
) -> None:
    """Cancel a stream at its engine. Raises EngineUnavailableError."""
    url = f"{target.address}/v1/streams/{request_id}"
    headers = _identity_headers(target, request_id)
    try:
        async with session.delete(url, headers=headers, timeout=_CALL_TIMEOUT):
            return
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        raise EngineUnavailableError(str(exc) or type(exc).__name__) from exc


def _identity_headers(target: EngineTarget, request_id: str) -> dict[str, str]:
    return {
        HEADER_REQUEST_ID: request_id,
        HEADER_GROUP: target.group,
        HEADER_GENERATION: str(target.generation),
    }


async def _async_request(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    headers: dict[str, str],
    body: bytes | None,
) -> aiohttp.ClientResponse:
    try:
        return await session.request(
            method,
            url,
            headers=headers,
            data=body,
            timeout=_STREAM_TIMEOUT,
            allow_redirects=False,
        )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise NotConnectedError(str(exc)) from exc
    except (aiohttp.ClientError, OSError) as exc:
        raise StreamBrokenError(str(exc) or type(exc).__name__) from exc


async def _async_check_response(
    response: aiohttp.ClientResponse, target: EngineTarget, request_id: str, after: int
) -> EngineStream:
    try:
        if response.status != _HTTP_OK:
            raise await _async_read_refusal(response)
        _check_echo(response, target, request_id)
    except BaseException:
        response.close()
        raise
    return EngineStream(response, request_id, after)


def _check_echo(
    response: aiohttp.ClientResponse, target: EngineTarget, request_id: str
) -> None:
    expected = {
        HEADER_REQUEST_ID: request_id,
        HEADER_GROUP: target.group,
        HEADER_GENERATION: str(target.generation),
        HEADER_BOOT_ID: target.boot_id,
    }
    for name, value in expected.items():
        if response.headers.get(name) != value:
            raise EchoMismatchError(f"the engine echoed another {name}")


async def _async_read_refusal(response: aiohttp.ClientResponse) -> EngineRefusedError:
    try:
        data = await response.content.read(MAX_ERROR_BYTES)
        error = json.loads(data)["error"]
        if isinstance(error, str):
            return EngineRefusedError(response.status, error, "")
        code, message = str(error["code"]), str(error.get("message", ""))
    except (
        aiohttp.ClientError,
        OSError,
        ValueError,
        KeyError,
        TypeError,
        RecursionError,
    ):
        code, message = "unknown", "the engine gave no reason"
    return EngineRefusedError(response.status, code, message)


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Blocks that an engine's prefix cache stored or evicted."""

    seq: int
    stored: bool
    blocks: tuple[str, ...]


async def async_read_cache_events(
    session: aiohttp.ClientSession, address: str, after: int
) -> tuple[CacheEvent, ...]:
    """Return the cache events after a sequence number.

    Raises EngineUnavailableError and MalformedResponseError.
    """
    url = f"{address}/cache/events"
    try:
        async with session.get(
            url, params={"after": str(after)}, timeout=_CALL_TIMEOUT
        ) as response:
            if response.status != _HTTP_OK:
                raise EngineUnavailableError(f"engine answered {response.status}")
            body = await response.json()
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        raise EngineUnavailableError(str(exc) or type(exc).__name__) from exc
    except (ValueError, RecursionError) as exc:
        raise MalformedResponseError("cache events are not JSON") from exc
    try:
        return tuple(_cache_event(item) for item in body["events"])
    except (KeyError, TypeError, ValueError) as exc:
        raise MalformedResponseError("malformed cache events") from exc


def _cache_event(item: dict[str, Any]) -> CacheEvent:
    blocks = tuple(str(block) for block in item["blocks"])
    return CacheEvent(int(item["seq"]), item["kind"] == "stored", blocks)
