"""Who the two ends of a link are."""

from dataclasses import dataclass, field
from enum import StrEnum


class Role(StrEnum):
    """The program at one end of a link."""

    CONTROL = "control"
    ENTRY = "entry"
    ADMIN = "admin"


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """The other end of a link, as it proved."""

    node: str
    zone: str
    region: str
    role: Role
    incarnation: str


@dataclass(frozen=True, slots=True)
class LinkIdentity:
    """The own process as it presents itself, with the secret that all share."""

    node: str
    zone: str
    region: str
    role: Role
    incarnation: str
    secret: str = field(repr=False)

    @property
    def public(self) -> PeerIdentity:
        """Return what the other end may see."""
        return PeerIdentity(
            self.node, self.zone, self.region, self.role, self.incarnation
        )
