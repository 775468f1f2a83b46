"""Errors of group formation."""

from ..exceptions import GooseberryhallError


class LeaseConflictError(GooseberryhallError):
    """Another node acquired the lease of a zone first."""

    code = "lease_taken"


class FormationError(GooseberryhallError):
    """A group could not be formed or a spare could not be prepared."""

    code = "formation_failed"
