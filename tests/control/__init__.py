"""Tests of the control program as a process."""
