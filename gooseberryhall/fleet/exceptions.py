"""Errors of group formation."""

from ..exceptions import GooseberryhallError


class LeaseTakenError(GooseberryhallError):
    """Another node took the lease of a zone."""

    code = "lease_taken"


class FormationError(GooseberryhallError):
    """A group or a spare could not be formed."""

    code = "formation_failed"
