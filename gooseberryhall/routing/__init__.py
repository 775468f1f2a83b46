"""Choice of the group that serves a request."""
