"""Admission control: which requests are sent, wait or are refused. Pure functions."""
