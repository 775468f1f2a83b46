"""Exceptions of the adapters."""

from ..exceptions import GooseberryhallError, UnavailableError


class TableUnavailableError(UnavailableError):
    """The table did not respond in time; a write may have been applied."""

    code = "table_unavailable"


class ObjectStoreUnavailableError(UnavailableError):
    """The object store did not respond in time."""

    code = "object_store_unavailable"


class VmListUnavailableError(UnavailableError):
    """The VM list did not respond in time."""

    code = "vm_list_unavailable"


class EngineUnavailableError(UnavailableError):
    """An engine did not respond in time."""

    code = "engine_unavailable"


class StaleFenceError(GooseberryhallError):
    """An engine refused an order because its fencing token is stale."""

    code = "stale_fence"


class OrderRefusedError(GooseberryhallError):
    """An engine refused an order for another reason."""

    code = "order_refused"


class MalformedResponseError(UnavailableError):
    """An external system sent a response in an unexpected format."""

    code = "malformed_response"


class NotConnectedError(UnavailableError):
    """No connection to a backend server was established, so no byte was sent."""

    code = "not_connected"


class ExchangeBrokenError(UnavailableError):
    """A connection failed after bytes may have reached the backend server."""

    code = "exchange_broken"


class EngineRefusedError(UnavailableError):
    """An engine responded to a request with an error status."""

    code = "engine_refused"

    def __init__(self, status: int, code: str, message: str) -> None:
        """Store the status and the engine's error code and message."""
        super().__init__(f"engine answered {status} {code}: {message}")
        self.status = status
        self.engine_code = code
        self.engine_message = message


class StreamBrokenError(UnavailableError):
    """A stream ended before its end marker."""

    code = "stream_broken"


class EchoMismatchError(StreamBrokenError):
    """An engine echoed another group, generation, boot id or request id."""

    code = "echo_mismatch"


class SequenceError(StreamBrokenError):
    """A chunk has an unexpected sequence number or the id of another request."""

    code = "sequence_error"
