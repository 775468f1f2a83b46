"""Tests of gooseberryhall.gossip."""
