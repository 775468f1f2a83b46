"""Errors of the adapters."""

from ..exceptions import GooseberryhallError, UnavailableError


class TableUnavailableError(UnavailableError):
    """The table did not answer in time; a write may have been applied."""

    code = "table_unavailable"


class ObjectStoreUnavailableError(UnavailableError):
    """The object store did not answer in time."""

    code = "object_store_unavailable"


class VmListUnavailableError(UnavailableError):
    """The VM list did not answer in time."""

    code = "vm_list_unavailable"


class EngineUnavailableError(UnavailableError):
    """An engine did not answer in time."""

    code = "engine_unavailable"


class StaleFenceError(GooseberryhallError):
    """An engine refused an order because of its old fencing number."""

    code = "stale_fence"


class OrderRefusedError(GooseberryhallError):
    """An engine refused an order for another reason."""

    code = "order_refused"


class MalformedResponseError(UnavailableError):
    """An outside system answered in a form that the adapter does not know."""

    code = "malformed_response"
