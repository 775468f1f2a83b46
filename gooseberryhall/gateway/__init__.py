"""Request path of a node: callers' connections, placement and forwarding."""
