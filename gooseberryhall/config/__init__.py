"""Declared objects, selectors and revisions."""
