"""Adapter to the operator's platform: header names, store, orders and settings file.

No module outside this package uses names of the platform.
"""
