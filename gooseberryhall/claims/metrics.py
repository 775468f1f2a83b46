"""Metrics of the claims package."""

from aioprometheus import Counter, Gauge

CLAIMS = Counter("gooseberryhall_claims_total", "Final states of claims")
REFUSED = Counter(
    "gooseberryhall_claims_refused_total", "Refused non-idempotent requests by code"
)
UNSETTLED = Gauge(
    "gooseberryhall_claims_unsettled", "Claims whose final state is not stored yet"
)
