"""Groups, configuration and stops of a whole cluster under faults."""
