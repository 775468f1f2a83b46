"""Measurements of the system with stand-ins."""
