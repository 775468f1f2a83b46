"""Tests of datagrams between this build and the build before it.

An upgrade replaces the nodes one after the other, so both builds run side by side.
"""

from typing import Any

import cbor2

from gooseberryhall.fleet.evacuation import EvacuationUpdate
from gooseberryhall.gossip.messages import Gossip, decode, encode

# A datagram of build 13336db: an announcement of zone z, a crash report, evacuations.
EARLIER_DATAGRAM = bytes.fromhex(
    "90626e31617a0703191cacf40af4a08087617a028183616df48763692d3166656e67696e65683130"
    "2e302e302e31191b58f40419b27b80a08080a16261628263692d3163692d32a16261628282627031"
    "627032820301a16270330ca163692d34184da2617a8309f51904e261798307f41901f4"
)


def test_datagram_of_the_earlier_build_is_decoded() -> None:
    """Guards against nodes that do not hear each other in an upgrade."""
    gossip = decode(EARLIER_DATAGRAM)
    assert (gossip.node, gossip.config_version) == ("n1", 10)
    assert gossip.announcement is not None
    assert gossip.announcement.term == 2
    assert gossip.leaving == {"i-4": 77}
    assert gossip.evacuations == {
        "z": EvacuationUpdate(9, active=True, age_s=1.25),
        "y": EvacuationUpdate(7, active=False, age_s=0.5),
    }


def test_the_earlier_build_reads_evacuations_with_an_era() -> None:
    """Guards against a new field that moves those that the earlier build reads."""
    evacuations = {"z": EvacuationUpdate(9, True, 1.25, 3)}
    gossip = Gossip("n1", "z", 7, 3, 7340, evacuations=evacuations)
    assert decode(encode(gossip)) == gossip
    values: list[Any] = cbor2.loads(encode(gossip))
    version, active, age_ms = values[15]["z"][:3]
    assert (version, active, age_ms) == (9, True, 1250)
