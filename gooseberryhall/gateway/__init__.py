"""Request path of a node: caller connections, placement and forwarding."""
