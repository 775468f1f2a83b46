"""Adapters to outside systems; the only modules that know their wire formats."""
