"""Tests of gooseberryhall.claims."""
