"""Errors of the config package."""

from ..exceptions import GooseberryhallError, UnavailableError


class SelectorError(GooseberryhallError, ValueError):
    """A label selector is empty or malformed."""

    code = "invalid_selector"

    def __init__(self, selector: str, reason: str) -> None:
        """Store the selector and the reason."""
        super().__init__(f"selector {selector!r}: {reason}")
        self.selector = selector
        self.reason = reason


class ConfigUnreadableError(UnavailableError):
    """A configuration row in the table does not have the expected form."""

    code = "config_unreadable"

    def __init__(self, key: str, reason: str) -> None:
        """Store the key of the row; the message holds the reason."""
        super().__init__(f"table row {key}: {reason}")
        self.key = key
