"""Exceptions of the groups package."""

from ..exceptions import GooseberryhallError


class GroupRowError(GooseberryhallError):
    """A group row has a format that this version does not support."""

    code = "malformed_group_row"
