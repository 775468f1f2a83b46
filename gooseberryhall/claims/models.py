"""Data models of claims, commands and their responses."""

import base64
import binascii
import hashlib
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from .const import KEY_MAX_CHARACTERS
from .exceptions import IdempotencyKeyError, MalformedClaimError


class ClaimState(StrEnum):
    """State of a claim.

    The request of an `ABANDONED` claim was never sent, so its key can be claimed again.
    The request of an `UNKNOWN` claim may have been sent; the state is final.
    """

    CLAIMED = "claimed"
    DONE = "done"
    ABANDONED = "abandoned"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CommandResponse:
    """HTTP response of a plain service to a command."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class CommandRequest:
    """An authenticated non-idempotent request to a plain service."""

    team: str
    key: str
    method: str
    path: str
    body: bytes
    weight: int = 1

    @property
    def row_key(self) -> str:
        """Return the key of the claim row."""
        digest = hashlib.sha256(self.key.encode()).hexdigest()
        return f"claim/{self.team}/{digest}"

    @property
    def body_sha256(self) -> str:
        """Return the digest of method, path and body that detects a reused key."""
        parts = (self.method.encode(), self.path.encode(), self.body)
        # Each part is hashed first, so that its boundaries are part of the digest.
        digests = b"".join(hashlib.sha256(part).digest() for part in parts)
        return hashlib.sha256(digests).hexdigest()


@dataclass(frozen=True, slots=True)
class Claim:
    """Value of a claim row.

    `object_key` is set when the body of the response is in the object store.
    """

    body_sha256: str
    node: str
    incarnation: str
    created_at_s: float
    state: ClaimState
    response: CommandResponse | None = None
    object_key: str | None = None

    def to_value(self) -> dict[str, Any]:
        """Return the row value."""
        value: dict[str, Any] = {
            "body_sha256": self.body_sha256,
            "node": self.node,
            "incarnation": self.incarnation,
            "created_at_s": self.created_at_s,
            "state": self.state.value,
        }
        if self.response is not None:
            value["status"] = self.response.status
            value["headers"] = [list(item) for item in self.response.headers]
            value["body_base64"] = base64.b64encode(self.response.body).decode()
        if self.object_key is not None:
            value["object_key"] = self.object_key
        return value

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "Claim":
        """Return the claim of a row value. Raises MalformedClaimError."""
        try:
            state = ClaimState(value["state"])
            response = _stored_response(value) if state is ClaimState.DONE else None
            return cls(
                body_sha256=str(value["body_sha256"]),
                node=str(value["node"]),
                incarnation=str(value["incarnation"]),
                created_at_s=float(value["created_at_s"]),
                state=state,
                response=response,
                object_key=value.get("object_key"),
            )
        except (KeyError, TypeError, ValueError, binascii.Error) as exc:
            raise MalformedClaimError("malformed claim row") from exc


def _stored_response(value: dict[str, Any]) -> CommandResponse:
    headers = tuple((str(name), str(text)) for name, text in value["headers"])
    body = base64.b64decode(value["body_base64"], validate=True)
    return CommandResponse(int(value["status"]), headers, body)


def validate_idempotency_key(key: str | None) -> str:
    """Return the key if it is valid. Raises IdempotencyKeyError."""
    if key is None or not key:
        raise IdempotencyKeyError(
            "a non-idempotent request needs the header Idempotency-Key, "
            "so that a retry can be recognised"
        )
    if len(key) > KEY_MAX_CHARACTERS or not key.isascii() or not key.isprintable():
        raise IdempotencyKeyError(
            f"Idempotency-Key must have 1 to {KEY_MAX_CHARACTERS} printable "
            "ASCII characters"
        )
    return key
