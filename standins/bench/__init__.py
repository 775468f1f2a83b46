"""Measurements of the product with stand-ins."""
