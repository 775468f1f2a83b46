"""Tests of datagrams between this build and the build before it.

An upgrade replaces the nodes one after the other, so both builds run side by side.
"""

from typing import Any

import cbor2

from gooseberryhall.fleet.evacuation import EvacuationUpdate
from gooseberryhall.gateway.models import CrashReport, ReportedCrash
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
    crashes = (ReportedCrash("i-1", 3), ReportedCrash("i-2", 1))
    assert gossip.crashes == (CrashReport("ab", ("p1", "p2"), crashes),)
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


def test_the_earlier_build_reads_two_crashes_of_one_server() -> None:
    """Guards against crash reports that the earlier build refuses as malformed.

    It pairs each server id with an age, expects two details of a request, and ignores
    what follows the evacuations.
    """
    crashes = (ReportedCrash("i-1", 6, 71), ReportedCrash("i-1", 2, 72))
    gossip = Gossip(
        "n1", "z", 7, 3, 7340, crashes=(CrashReport("ab", ("p1",), crashes),)
    )
    assert decode(encode(gossip)) == gossip
    values: list[Any] = cbor2.loads(encode(gossip))
    parts, ages_s = values[12]["ab"]
    assert dict(zip(values[11]["ab"], ages_s, strict=True)) == {"i-1": 2}
    assert parts == ["p1"]
