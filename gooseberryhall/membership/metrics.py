"""Metrics of the membership package."""

from aioprometheus import Counter, Gauge

PEERS = Gauge("gooseberryhall_peers", "Live control processes of other nodes")
PROBED_VMS = Gauge("gooseberryhall_probed_vms", "VMs that this node probes")
PROBES = Counter("gooseberryhall_probes_total", "Probes by result")
PROBE_BYTES = Counter(
    "gooseberryhall_probe_bytes_total", "Bytes of probes and answers without TCP and IP"
)
EVIDENCE_AGE = Gauge(
    "gooseberryhall_evidence_age_seconds", "Age of the oldest answer of a live member"
)
