"""Configuration, backend servers and groups; formation of groups by a zone's owner."""
