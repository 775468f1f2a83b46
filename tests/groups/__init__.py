"""Tests of the groups concern."""
