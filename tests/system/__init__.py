"""Tests of whole clusters that run as real processes."""
