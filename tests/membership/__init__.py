"""Tests of the membership concern."""
