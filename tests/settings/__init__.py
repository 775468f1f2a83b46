"""Tests of gooseberryhall.settings."""
