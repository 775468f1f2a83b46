"""Randomized fault soak of the node program."""
