"""Streams of the engine stand-in: batching, generation and resumption."""

import asyncio
import heapq
import itertools
import os
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial

from ..http import boot_time_s
from .state import Records

ENDED_RETENTION_S = 30.0
NO_READER_TIMEOUT_S = 10.0
SWEEP_PERIOD_S = 0.5
# A stream that lags further behind its schedule continues from the current time instead
# of catching up.
MAX_LAG_S = 0.1
MS_PER_S = 1000
CRASH_EXIT_CODE = 70


class StreamResult(StrEnum):
    """Result of a stream, or that it is still running."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    BROKEN = "broken"


@dataclass(slots=True, eq=False)
class Stream:
    """Stream and the events that it has generated so far.

    The sequence number of an event is its index in `frames` plus 1.
    """

    request_id: str
    priority: int
    planned_frames: list[bytes]
    first_token_s: float
    token_s: float
    headers: dict[str, str]
    crashes_engine: bool = False
    prompt_blocks: int = 0
    cached_blocks: int = 0
    frames: list[bytes] = field(default_factory=list)
    result: StreamResult = StreamResult.RUNNING
    readers: int = 0
    idle_since_s: float = field(default_factory=boot_time_s)
    ended_at_s: float = 0.0
    waiters: set[asyncio.Future[None]] = field(default_factory=set)

    async def async_wait_after(self, seq: int) -> bool:
        """Wait until there is an event after `seq`.

        Return False if there will be none or the stream was cancelled or broken.
        """
        while len(self.frames) <= seq:
            if self.result is not StreamResult.RUNNING:
                return False
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.add(waiter)
            try:
                await waiter
            finally:
                self.waiters.discard(waiter)
        return self.result in (StreamResult.RUNNING, StreamResult.FINISHED)

    def notify_readers(self) -> None:
        """Wake the readers so that they check the stream."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    def end(self, result: StreamResult) -> None:
        """Set the result of a running stream and notify its readers."""
        if self.result is StreamResult.RUNNING:
            self.result = result
            self.ended_at_s = boot_time_s()
        self.notify_readers()


@dataclass(slots=True)
class StreamPool:
    """Streams of an engine, at most `slots` of which run concurrently."""

    slots: int
    records: Records
    slow_factor: float = 1.0
    streams: dict[str, Stream] = field(default_factory=dict)
    active: dict[Stream, asyncio.Task[None]] = field(default_factory=dict)
    queue: list[tuple[int, int, Stream]] = field(default_factory=list)
    submission_numbers: Iterator[int] = field(default_factory=itertools.count)

    @property
    def queued(self) -> int:
        """Return the number of streams that wait for a slot."""
        return sum(item[2].result is StreamResult.RUNNING for item in self.queue)

    def async_submit(self, stream: Stream) -> None:
        """Run a stream when a slot is free; higher priorities run first."""
        self.streams[stream.request_id] = stream
        heapq.heappush(
            self.queue, (-stream.priority, next(self.submission_numbers), stream)
        )
        self._start_queued()

    def cancel(self, stream: Stream, result: StreamResult) -> None:
        """End a running stream early with the given result."""
        if stream.result is not StreamResult.RUNNING:
            return
        stream.end(result)
        if result is StreamResult.BROKEN:
            self.records.broken += 1
        else:
            self.records.cancelled += 1
        task = self.active.get(stream)
        if task is not None:
            task.cancel()

    def break_all(self) -> None:
        """Break every stream."""
        for stream in list(self.streams.values()):
            self.cancel(stream, StreamResult.BROKEN)

    async def async_sweep(self) -> None:
        """Periodically cancel streams without readers and delete old ended ones."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            now_s = boot_time_s()
            for stream in list(self.streams.values()):
                if stream.result is not StreamResult.RUNNING:
                    if now_s - stream.ended_at_s > ENDED_RETENTION_S:
                        self.streams.pop(stream.request_id, None)
                elif (
                    not stream.readers
                    and now_s - stream.idle_since_s > NO_READER_TIMEOUT_S
                ):
                    self.cancel(stream, StreamResult.CANCELLED)

    def _start_queued(self) -> None:
        while self.queue and len(self.active) < self.slots:
            stream = heapq.heappop(self.queue)[2]
            if stream.result is not StreamResult.RUNNING:
                continue
            task = asyncio.create_task(self._async_generate(stream))
            self.active[stream] = task
            # A task that is cancelled before it starts would not run a `finally` block.
            task.add_done_callback(partial(self._release_slot, stream))

    def _release_slot(self, stream: Stream, _task: asyncio.Task[None]) -> None:
        self.active.pop(stream, None)
        self._start_queued()

    async def _async_generate(self, stream: Stream) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time() + stream.first_token_s * self.slow_factor
        for index, frame in enumerate(stream.planned_frames):
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            stream.frames.append(frame)
            stream.notify_readers()
            if stream.crashes_engine and index == 0:
                # The first chunk is sent while this task sleeps.
                await asyncio.sleep(stream.token_s)
                os._exit(CRASH_EXIT_CODE)
            due_s += stream.token_s * self.slow_factor
            if due_s < loop.time() - MAX_LAG_S:
                due_s = loop.time()
        self.records.finished += 1
        stream.end(StreamResult.FINISHED)
