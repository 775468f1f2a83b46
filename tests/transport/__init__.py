"""Tests of gooseberryhall.transport."""
