"""Planning, lifecycle, zone leases and engine orders of groups."""
