"""At-most-once execution of non-idempotent requests by claims in the table."""
