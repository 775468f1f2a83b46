"""Tests of the promises about requests (P3 to P5) with real processes."""
