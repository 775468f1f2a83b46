"""Tests of the request promises with real processes."""
