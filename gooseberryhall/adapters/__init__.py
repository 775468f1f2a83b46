"""Adapters to external systems; the only modules that know their wire formats."""
