"""Choice of the group or server that serves a request."""
