"""At-most-once execution of commands (non-idempotent requests) by claims in a table."""
