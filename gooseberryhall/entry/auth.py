"""Authenticates the team of a caller by its bearer token."""

import hmac
from hashlib import sha256

from ..config.models import Team
from ..config.state import ConfigState
from .errors import unauthorized

_SCHEME = "bearer "


def find_team(config: ConfigState, authorization: str | None) -> Team:
    """Return the team of a caller. Raises RequestFailedError.

    All hashes are compared, so that the time does not reveal which one matched.
    """
    if authorization is None or not authorization.lower().startswith(_SCHEME):
        raise unauthorized()
    token = authorization[len(_SCHEME) :].strip()
    digest = sha256(token.encode(errors="surrogateescape")).hexdigest()
    matched_team = None
    for team in config.of_type(Team):
        for expected_digest in team.token_sha256:
            if hmac.compare_digest(expected_digest, digest):
                matched_team = team
    if matched_team is None or not token:
        raise unauthorized()
    return matched_team
