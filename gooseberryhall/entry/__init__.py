"""The entry program."""
