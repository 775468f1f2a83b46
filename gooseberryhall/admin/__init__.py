"""The administration program."""
