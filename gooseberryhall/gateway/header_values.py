"""Decodes values of callers' headers."""

from typing import Final

# Python refuses to convert thousands of digits, and `float` overflows at hundreds.
_MAX_DIGITS: Final = 12


def decode_number(value: bytes | None) -> int | None:
    """Return the number in a header, or None if it is absent, malformed or too long."""
    digits = (value or b"").strip()
    return int(digits) if digits.isdigit() and len(digits) <= _MAX_DIGITS else None
