"""Stand-in of a model engine."""
