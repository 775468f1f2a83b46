"""Mutual challenge-response authentication at the start of a link.

Each proof covers both nonces, both identities and the side that sends it. The proof of
one side is therefore not valid for the other side, nor on another connection.
"""

import asyncio
import hmac
import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import asdict
from hashlib import sha256
from typing import Annotated, Literal, TypeVar

import cbor2
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from .codec import decode_map, is_oversized_frame_close
from .const import (
    HANDSHAKE_TIMEOUT_S,
    MAX_HANDSHAKE_FRAME_BYTES,
    NONCE_BYTES,
    PROOF_BYTES,
)
from .exceptions import (
    AuthenticationError,
    LinkUnavailableError,
    MalformedFrameError,
    OversizedFrameError,
    SelfLinkError,
)
from .identity import LinkIdentity, PeerIdentity

_DOMAIN = "gooseberryhall link v1"
_CLIENT = "client"
_SERVER = "server"

_Nonce = Annotated[bytes, Field(min_length=NONCE_BYTES, max_length=NONCE_BYTES)]
_ProofBytes = Annotated[bytes, Field(min_length=PROOF_BYTES, max_length=PROOF_BYTES)]


class _Frame(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Hello(_Frame):
    """Opens the handshake; sent by the client."""

    type: Literal["hello"] = "hello"
    identity: PeerIdentity
    nonce: _Nonce


class Challenge(_Frame):
    """Responds to a Hello; sent by the server."""

    type: Literal["challenge"] = "challenge"
    identity: PeerIdentity
    nonce: _Nonce


class Proof(_Frame):
    """Proves knowledge of the secret; sent first by the client, then by the server."""

    type: Literal["proof"] = "proof"
    proof: _ProofBytes


_FrameT = TypeVar("_FrameT", Hello, Challenge, Proof)


def compute_proof(secret: str, side: str, hello: Hello, challenge: Challenge) -> bytes:
    """Return the proof of one side: an HMAC of the handshake's transcript."""
    transcript = [
        _DOMAIN,
        side,
        hello.nonce,
        challenge.nonce,
        asdict(hello.identity),
        asdict(challenge.identity),
    ]
    text = cbor2.dumps(transcript, canonical=True)
    return hmac.new(secret.encode(), text, sha256).digest()


async def async_client_handshake(
    ws: Connection, identity: LinkIdentity
) -> PeerIdentity:
    """Authenticate to a server and verify its proof. Raises LinkError."""
    async with _handshake_timeout():
        hello = Hello(
            identity=identity.peer_identity, nonce=secrets.token_bytes(NONCE_BYTES)
        )
        await _async_send(ws, hello)
        challenge = await _async_receive(ws, Challenge)
        _check_not_self(identity, challenge.identity)
        proof = compute_proof(identity.secret, _CLIENT, hello, challenge)
        await _async_send(ws, Proof(proof=proof))
        peer_proof = await _async_receive(ws, Proof)
    _check_proof(peer_proof, compute_proof(identity.secret, _SERVER, hello, challenge))
    return challenge.identity


async def async_server_handshake(
    ws: Connection, identity: LinkIdentity
) -> PeerIdentity:
    """Verify a client's proof, then authenticate to it. Raises LinkError."""
    async with _handshake_timeout():
        hello = await _async_receive(ws, Hello)
        _check_not_self(identity, hello.identity)
        challenge = Challenge(
            identity=identity.peer_identity, nonce=secrets.token_bytes(NONCE_BYTES)
        )
        await _async_send(ws, challenge)
        peer_proof = await _async_receive(ws, Proof)
        _check_proof(
            peer_proof, compute_proof(identity.secret, _CLIENT, hello, challenge)
        )
        proof = compute_proof(identity.secret, _SERVER, hello, challenge)
        await _async_send(ws, Proof(proof=proof))
    return hello.identity


@asynccontextmanager
async def _handshake_timeout() -> AsyncIterator[None]:
    """Limit the time of the handshake and translate errors into LinkError."""
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            yield
    except TimeoutError as exc:
        raise LinkUnavailableError("no answer in the handshake") from exc
    except ConnectionClosed as exc:
        if is_oversized_frame_close(exc):
            raise OversizedFrameError("handshake frame over the limit") from exc
        raise LinkUnavailableError("connection ended in the handshake") from exc


async def _async_send(ws: Connection, frame: _Frame) -> None:
    await ws.send(cbor2.dumps(frame.model_dump(mode="python")))


async def _async_receive(ws: Connection, frame_type: type[_FrameT]) -> _FrameT:
    data = await ws.recv()
    if len(data) > MAX_HANDSHAKE_FRAME_BYTES:
        raise OversizedFrameError(f"handshake frame of {len(data)} B")
    try:
        return frame_type.model_validate(decode_map(data))
    except ValidationError as exc:
        raise MalformedFrameError(f"not a valid {frame_type.__name__}") from exc


def _check_not_self(identity: LinkIdentity, peer: PeerIdentity) -> None:
    if peer.incarnation == identity.incarnation:
        raise SelfLinkError(identity.node)


def _check_proof(frame: Proof, expected: bytes) -> None:
    if not hmac.compare_digest(frame.proof, expected):
        raise AuthenticationError("wrong proof of the link secret")
