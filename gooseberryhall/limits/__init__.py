"""Team limits, fair queueing and retry budget."""
