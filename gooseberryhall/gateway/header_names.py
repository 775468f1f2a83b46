"""Names of the headers that the request path reads and sets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names in lower case, by meaning.

    The adapter of a platform provides them, so that the request path knows none.
    """

    # Id of one caller attempt; servers echo it.
    request_id: bytes
    # Milliseconds that the caller, or this node, still waits.
    deadline_ms: bytes
    # Server that must run the request; any other rejects it.
    expected_server: bytes
    # Signature of a server's response.
    signature: bytes
    # States that the server did not run the request.
    not_run: bytes
    team: bytes
    priority: bytes
    model: bytes
    last_event_id: bytes
    # Scheme of the authorization header that carries an API key, with its space.
    key_scheme: bytes
