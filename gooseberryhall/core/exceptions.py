"""Errors of the event runtime."""

from ..exceptions import GooseberryhallError


class UnhandledEffectError(GooseberryhallError):
    """The reducer returned an effect without a registered handler."""

    code = "unhandled_effect"
