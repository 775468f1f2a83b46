"""Metrics of the links."""

from dataclasses import dataclass

from aioprometheus import Counter, Gauge

LINKS = Gauge("gooseberryhall_links", "Open links by role of the other end")
LINK_BYTES = Counter(
    "gooseberryhall_link_bytes_total",
    "Bytes in frames by direction and scope: between nodes (peers) or in a VM (local)",
)
FRAMES_REFUSED = Counter(
    "gooseberryhall_frames_refused_total", "Frames and handshakes refused by error"
)
LINKS_CLOSED = Counter(
    "gooseberryhall_links_closed_total", "Links closed by error, or by the other end"
)


@dataclass(slots=True)
class Traffic:
    """Byte counts of frames; plain fields, because every frame updates them."""

    sent_bytes: int = 0
    received_bytes: int = 0


PEER_TRAFFIC = Traffic()
LOCAL_TRAFFIC = Traffic()


def collect_traffic() -> None:
    """Export the byte counts as metrics."""
    for scope, traffic in (("peers", PEER_TRAFFIC), ("local", LOCAL_TRAFFIC)):
        LINK_BYTES.set({"direction": "sent", "scope": scope}, traffic.sent_bytes)
        LINK_BYTES.set(
            {"direction": "received", "scope": scope}, traffic.received_bytes
        )
