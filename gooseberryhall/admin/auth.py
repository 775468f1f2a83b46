"""Authentication and roles of the administration API."""

import hashlib
import hmac
from dataclasses import dataclass
from enum import IntEnum

from ..settings.models import AdminSettings
from .const import ACTOR_DIGEST_DIGITS
from .exceptions import ForbiddenError, UnauthenticatedError

_SCHEME = "Bearer "


class Role(IntEnum):
    """Roles in ascending order; each one includes the lower ones."""

    READER = 1
    EDITOR = 2


@dataclass(frozen=True, slots=True)
class Actor:
    """The holder of a token, named by the start of the token's SHA-256."""

    name: str
    role: Role


def authenticate(settings: AdminSettings, header: str | None) -> Actor:
    """Return the holder of the token in an Authorization header.

    Raises UnauthenticatedError. Every listed hash is compared in constant time, so the
    response time does not depend on which one matches.
    """
    if header is None or not header.startswith(_SCHEME):
        raise UnauthenticatedError(
            "the request has no bearer token",
            field="Authorization",
            fix="send `Authorization: Bearer <token>`",
        )
    digest = hashlib.sha256(header[len(_SCHEME) :].strip().encode()).hexdigest()
    role = None
    for candidate, hashes in (
        (Role.READER, settings.reader_token_sha256),
        (Role.EDITOR, settings.editor_token_sha256),
    ):
        matches = [hmac.compare_digest(digest, token_hash) for token_hash in hashes]
        if any(matches):
            role = candidate
    if role is None:
        raise UnauthenticatedError(
            "the token is not known",
            field="Authorization",
            fix="use a token whose SHA-256 is in the admin settings",
        )
    return Actor(f"{role.name.lower()}-{digest[:ACTOR_DIGEST_DIGITS]}", role)


def require_role(actor: Actor, role: Role) -> None:
    """Raise ForbiddenError unless the actor has the role."""
    if actor.role < role:
        raise ForbiddenError(
            f"this needs the {role.name.lower()} role; the token has the role "
            f"{actor.role.name.lower()}",
            field="Authorization",
            fix="use an editor token",
        )
