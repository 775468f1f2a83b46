"""Errors of the config concern."""

from ..exceptions import GooseberryhallError


class SelectorError(GooseberryhallError, ValueError):
    """A label selector is empty or malformed."""

    code = "invalid_selector"

    def __init__(self, selector: str, reason: str) -> None:
        """Keep the selector and the reason."""
        super().__init__(f"selector {selector!r}: {reason}")
        self.selector = selector
        self.reason = reason
