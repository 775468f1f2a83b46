"""Identities of the two ends of a link."""

from dataclasses import dataclass, field
from enum import StrEnum


class Role(StrEnum):
    """The program at one end of a link."""

    CONTROL = "control"
    ENTRY = "entry"
    ADMIN = "admin"


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Identity of one end of a link, as sent in the handshake."""

    node: str
    zone: str
    region: str
    role: Role
    incarnation: str


@dataclass(frozen=True, slots=True)
class LinkIdentity:
    """Identity of this process with the secret that all processes share."""

    node: str
    zone: str
    region: str
    role: Role
    incarnation: str
    secret: str = field(repr=False)

    @property
    def peer_identity(self) -> PeerIdentity:
        """Return the identity without the secret."""
        return PeerIdentity(
            self.node, self.zone, self.region, self.role, self.incarnation
        )
