"""Metrics of the links concern."""

from dataclasses import dataclass

from aioprometheus import Counter, Gauge

LINKS = Gauge("gooseberryhall_links", "Open links by role of the other end")
LINK_BYTES = Counter("gooseberryhall_link_bytes_total", "Bytes in frames by direction")
FRAMES_REFUSED = Counter(
    "gooseberryhall_frames_refused_total", "Frames and handshakes refused by error"
)
LINKS_CLOSED = Counter(
    "gooseberryhall_links_closed_total", "Links closed by error, or by the other end"
)


@dataclass(slots=True)
class Traffic:
    """Bytes in frames; counted in plain fields, because it is done for each frame."""

    sent_bytes: int = 0
    received_bytes: int = 0


TRAFFIC = Traffic()


def collect_traffic() -> None:
    """Export the counted bytes."""
    LINK_BYTES.set({"direction": "sent"}, TRAFFIC.sent_bytes)
    LINK_BYTES.set({"direction": "received"}, TRAFFIC.received_bytes)
