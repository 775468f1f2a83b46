"""Tests of gooseberryhall.telemetry."""
