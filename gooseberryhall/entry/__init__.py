"""The entry program, which answers the requests of callers."""
