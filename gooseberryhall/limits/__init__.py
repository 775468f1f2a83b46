"""Rate limits of teams, the fair queue and the retry budget."""
