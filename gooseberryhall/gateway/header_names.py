"""Names of the headers that the request path reads and sets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names in lower case, by purpose.

    The platform adapter provides them, so that the request path does not depend on
    the names of one platform.
    """

    # Id of one attempt of the caller; servers echo it.
    request_id: bytes
    # Remaining time in milliseconds for which the caller, or this node, waits.
    deadline_ms: bytes
    # Id of the server that must run the request; any other server rejects it.
    expected_server: bytes
    # Signature of a server's response.
    signature: bytes
    # Set in a response when the server did not run the request.
    not_run: bytes
    team: bytes
    priority: bytes
    model: bytes
    # Parts of the prompt with their number of tokens.
    prompt_parts: bytes
    last_event_id: bytes
    # Scheme of an Authorization header with an API key, including the trailing space.
    key_scheme: bytes
    # Prompt tokens and maximum of output tokens, and the caller's guess of the output.
    token_count: bytes = b""
    length_hint: bytes = b""
