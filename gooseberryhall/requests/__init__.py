"""Request life cycle, claims and crash suspects."""
