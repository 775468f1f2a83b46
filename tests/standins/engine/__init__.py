"""Tests of the stand-in for a model engine."""
