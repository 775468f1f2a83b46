"""Splits a stream of server-sent events into complete events."""

from dataclasses import dataclass

from ..transport.exceptions import MalformedResponseError
from .const import MAX_EVENT_BYTES

_END = b"\n\n"
_ID = b"id:"


@dataclass(slots=True)
class EventSplitter:
    """Buffers the bytes of an event until it is complete."""

    # Id of the last complete event.
    last_event_id: bytes | None = None
    # Number of complete events so far.
    event_count: int = 0
    _partial: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return those of complete events.

        Raises `MalformedResponseError` if an event exceeds `MAX_EVENT_BYTES`.
        """
        data = self._partial + data
        end = data.rfind(_END)
        end = end + len(_END) if end >= 0 else 0
        complete, self._partial = data[:end], data[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise MalformedResponseError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        if complete:
            self._record_ids(complete)
        return complete

    def discard_partial(self) -> None:
        """Discard an incomplete event whose server is lost."""
        self._partial = b""

    @property
    def has_partial(self) -> bool:
        """Return whether bytes of an incomplete event are buffered."""
        return bool(self._partial.strip())

    def _record_ids(self, complete: bytes) -> None:
        for event in complete.split(_END):
            if not event.strip():
                continue
            self.event_count += 1
            for line in event.split(b"\n"):
                if line.startswith(_ID):
                    self.last_event_id = line[len(_ID) :].strip()
