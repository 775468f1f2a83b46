"""Metrics of the links concern."""

from aioprometheus import Counter, Gauge

LINKS = Gauge("gooseberryhall_links", "Open links by role of the other end")
LINK_BYTES = Counter("gooseberryhall_link_bytes_total", "Bytes in frames by direction")
FRAMES_REFUSED = Counter(
    "gooseberryhall_frames_refused_total", "Frames and handshakes refused by error"
)
LINKS_CLOSED = Counter(
    "gooseberryhall_links_closed_total", "Links closed by error, or by the other end"
)
