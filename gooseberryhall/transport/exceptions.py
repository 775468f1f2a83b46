"""Exceptions of HTTP connections."""

from ..exceptions import GooseberryhallError


class TransportError(GooseberryhallError):
    """An exchange with a server did not complete."""


class ConnectFailedError(TransportError):
    """No connection was established, so nothing was sent."""


class SendWithheldError(ConnectFailedError):
    """The server must get no request any more, so nothing was sent."""


class ConnectionBrokenError(TransportError):
    """The connection closed before the response was complete."""


class MalformedResponseError(TransportError):
    """The server sent bytes that are not an HTTP/1.1 response."""


class ExchangeAbortedError(TransportError):
    """The exchange was aborted by this node, for example because the server stalled."""


class ExchangeTimeoutError(TransportError):
    """The response was not complete within the timeout."""
