"""Header names of the platform."""

from typing import Final

from ..gateway.header_names import HeaderNames

HEADER_NAMES: Final = HeaderNames(
    request_id=b"x-attempt-id",
    deadline_ms=b"x-deadline-milliseconds",
    expected_server=b"x-expected-instance",
    signature=b"x-response-seal",
    not_run=b"x-not-executed",
    team=b"x-tenant",
    priority=b"x-request-priority",
    model=b"x-model",
    prompt_parts=b"x-prompt-prefix",
    last_event_id=b"last-event-id",
    key_scheme=b"Token ",
    token_count=b"x-token-count",
    length_hint=b"x-length-hint",
)
