"""Group planning, life cycle, leases and orders."""
