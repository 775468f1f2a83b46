"""Tests of gooseberryhall.fleet."""
