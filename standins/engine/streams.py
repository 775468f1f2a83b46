"""Streams of the engine stand-in: batching, generation and the resume buffer."""

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

KEEP_ENDED_S = 30.0
NO_READER_LIMIT_S = 10.0
SWEEP_PERIOD_S = 0.5
# A generator that is further behind its schedule goes on from the present time.
MAX_BEHIND_S = 0.1
MS_PER_S = 1000
CRASH_EXIT_CODE = 70


class StreamResult(StrEnum):
    """How a stream ended."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    BROKEN = "broken"


@dataclass(slots=True, eq=False)
class Stream:
    """A stream and the events that it has produced so far.

    The sequence number of an event is its index in `frames` plus 1.
    """

    request_id: str
    priority: int
    planned: list[bytes]
    first_token_s: float
    token_s: float
    headers: dict[str, str]
    crashes: bool = False
    prompt_blocks: int = 0
    cached_blocks: int = 0
    frames: list[bytes] = field(default_factory=list)
    result: StreamResult = StreamResult.RUNNING
    readers: int = 0
    idle_since_s: float = field(default_factory=boot_time_s)
    ended_at_s: float = 0.0
    waiters: set[asyncio.Future[None]] = field(default_factory=set)

    async def async_wait_beyond(self, seq: int) -> bool:
        """Wait for the event after `seq`; return False when there is none."""
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

    def wake(self) -> None:
        """Let the readers look again."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    def end(self, result: StreamResult) -> None:
        """Keep the result of the stream."""
        if self.result is StreamResult.RUNNING:
            self.result = result
            self.ended_at_s = boot_time_s()
        self.wake()


@dataclass(slots=True)
class StreamPool:
    """All streams of an engine; at most `slots` run at once."""

    slots: int
    records: Records
    slow_factor: float = 1.0
    streams: dict[str, Stream] = field(default_factory=dict)
    active: dict[Stream, asyncio.Task[None]] = field(default_factory=dict)
    queue: list[tuple[int, int, Stream]] = field(default_factory=list)
    counter: Iterator[int] = field(default_factory=itertools.count)

    @property
    def queued(self) -> int:
        """Return how many streams wait for a slot."""
        return sum(item[2].result is StreamResult.RUNNING for item in self.queue)

    def async_submit(self, stream: Stream) -> None:
        """Run a stream when a slot is free; higher priorities go first."""
        self.streams[stream.request_id] = stream
        heapq.heappush(self.queue, (-stream.priority, next(self.counter), stream))
        self._start_queued()

    def cancel(self, stream: Stream, result: StreamResult) -> None:
        """End a stream before its time."""
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
        """Cancel streams without a reader and drop those that ended long ago."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            now_s = boot_time_s()
            for stream in list(self.streams.values()):
                if stream.result is not StreamResult.RUNNING:
                    if now_s - stream.ended_at_s > KEEP_ENDED_S:
                        self.streams.pop(stream.request_id, None)
                elif (
                    not stream.readers
                    and now_s - stream.idle_since_s > NO_READER_LIMIT_S
                ):
                    self.cancel(stream, StreamResult.CANCELLED)

    def _start_queued(self) -> None:
        while self.queue and len(self.active) < self.slots:
            stream = heapq.heappop(self.queue)[2]
            if stream.result is not StreamResult.RUNNING:
                continue
            task = asyncio.create_task(self._async_produce(stream))
            self.active[stream] = task
            # A task that is cancelled before it runs executes no `finally`.
            task.add_done_callback(partial(self._free_slot, stream))

    def _free_slot(self, stream: Stream, _task: asyncio.Task[None]) -> None:
        self.active.pop(stream, None)
        self._start_queued()

    async def _async_produce(self, stream: Stream) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time() + stream.first_token_s * self.slow_factor
        for index, frame in enumerate(stream.planned):
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            stream.frames.append(frame)
            stream.wake()
            if stream.crashes and index == 0:
                # One more turn of the loop sends the first chunk.
                await asyncio.sleep(stream.token_s)
                os._exit(CRASH_EXIT_CODE)
            due_s += stream.token_s * self.slow_factor
            if due_s < loop.time() - MAX_BEHIND_S:
                due_s = loop.time()
        self.records.finished += 1
        stream.end(StreamResult.FINISHED)
