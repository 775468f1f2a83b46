"""Tests of gooseberryhall."""
