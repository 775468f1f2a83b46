"""Tests of the groups package."""
