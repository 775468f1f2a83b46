"""Errors of the groups concern."""

from ..exceptions import GooseberryhallError


class GroupRowError(GooseberryhallError):
    """A row of a group has a form that this version does not know."""

    code = "malformed_group_row"
