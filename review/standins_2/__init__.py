"""Stand-ins that the cases of this review share."""
