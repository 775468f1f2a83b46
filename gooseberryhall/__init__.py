"""Serving system for models whose replica spans several VMs."""
