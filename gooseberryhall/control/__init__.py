"""The control program."""
