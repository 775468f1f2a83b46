"""Event reducer, runtime, clock and timer service."""
