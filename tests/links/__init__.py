"""Tests of the links between processes."""
