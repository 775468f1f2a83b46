"""Adapter to the users' platform: its wire names, store, orders and settings file.

No module outside this folder knows the platform's names.
"""
