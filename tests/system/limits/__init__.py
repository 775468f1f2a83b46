"""Tests of a node process and callers outside its limits; run them alone."""
