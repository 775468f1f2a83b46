"""Errors of group formation."""

from ..exceptions import GooseberryhallError


class LeaseTakenError(GooseberryhallError):
    """Another node acquired the lease of a zone."""

    code = "lease_taken"


class FormationError(GooseberryhallError):
    """A group could not be formed or a spare could not be prepared."""

    code = "formation_failed"
