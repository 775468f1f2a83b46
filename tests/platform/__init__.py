"""Tests of gooseberryhall.platform."""
