"""Splits a stream of server-sent events into complete events."""

from dataclasses import dataclass

from ..transport.exceptions import MalformedResponseError
from .const import MAX_EVENT_BYTES

_END = b"\n\n"
_ID = b"id:"
_COMMENT = b":"


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

        Raises `MalformedResponseError` if an event exceeds `MAX_EVENT_BYTES`, or if the
        data holds something else than events with increasing ids, for example the text
        of an error. No event of this data is counted then.
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
        last_id = self.last_event_id
        count = 0
        for event in complete.split(_END):
            if not event.strip() or event.startswith(_COMMENT):
                continue
            event_id = _find_id(event)
            if event_id is None or not _is_later(event_id, last_id):
                raise MalformedResponseError("not an event with an increasing id")
            last_id = event_id
            count += 1
        self.last_event_id = last_id
        self.event_count += count


def _find_id(event: bytes) -> bytes | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            return line[len(_ID) :].strip()
    return None


def _is_later(event_id: bytes, last_id: bytes | None) -> bool:
    if last_id is None:
        return True
    if event_id.isdigit() and last_id.isdigit():
        return int(event_id) > int(last_id)
    return event_id != last_id
