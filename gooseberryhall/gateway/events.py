"""Splits a stream of server-sent events into whole events."""

from dataclasses import dataclass

_END = b"\n\n"
_ID = b"id:"


@dataclass(slots=True)
class EventSplitter:
    """Holds back the bytes of an event until it is whole."""

    # Id of the last whole event.
    last_id: bytes | None = None
    # Whole events so far.
    events: int = 0
    _partial: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return those of whole events."""
        data = self._partial + data
        end = data.rfind(_END)
        if end < 0:
            self._partial = data
            return b""
        end += len(_END)
        whole, self._partial = data[:end], data[end:]
        self._note_ids(whole)
        return whole

    def restart(self) -> None:
        """Drop an unfinished event, because its server is gone."""
        self._partial = b""

    @property
    def unfinished(self) -> bool:
        """Return whether bytes of an unfinished event were received."""
        return bool(self._partial.strip())

    def _note_ids(self, whole: bytes) -> None:
        for event in whole.split(_END):
            if not event.strip():
                continue
            self.events += 1
            for line in event.split(b"\n"):
                if line.startswith(_ID):
                    self.last_id = line[len(_ID) :].strip()
