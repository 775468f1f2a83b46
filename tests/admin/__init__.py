"""Tests of admin."""
