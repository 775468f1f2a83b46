"""Tests of gooseberryhall.node."""
