"""Errors of the event runtime."""

from ..exceptions import GooseberryhallError


class UnhandledEffectError(GooseberryhallError):
    """The reducer returned an effect that the program has no handler for."""

    code = "unhandled_effect"
