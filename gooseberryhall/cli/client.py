"""Client of the administration API."""

import secrets
from collections.abc import Sequence
from typing import Any, TypeVar

import aiohttp
from pydantic import BaseModel, ValidationError

from ..admin.models import (
    ConfigView,
    ConflictResponse,
    EditAccepted,
    EditRequest,
    ErrorResponse,
    Explanation,
    PlanRequest,
    PlanView,
    RefusedResponse,
    StatusView,
)
from ..config.operations import Operation
from .const import CALL_TIMEOUT_S, CONNECT_TIMEOUT_S, EDIT_TOKEN_BYTES
from .exceptions import (
    CliError,
    EditConflictError,
    EditRefusedError,
    UnreachableError,
)
from .output import conflict_lines, finding_lines

ModelT = TypeVar("ModelT", bound=BaseModel)
_TIMEOUT = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
_STATUS_OK = 200
_STATUS_UNAVAILABLE = 503


class AdminClient:
    """Client that sends each call to the first reachable administration program.

    While a call fails with UnreachableError, it is retried on the next address. This is
    safe because reads have no side effects and an edit carries an idempotency token,
    with which it is accepted at most once.
    """

    def __init__(
        self, session: aiohttp.ClientSession, addresses: Sequence[str], token: str
    ) -> None:
        """Initialize the client; the caller closes `session`."""
        self._session = session
        self._addresses = tuple(address.rstrip("/") for address in addresses)
        self._headers = {"Authorization": f"Bearer {token}"}

    async def async_get_config(self) -> ConfigView:
        """Return the declared configuration."""
        return await self._async_call("GET", "/v1/config", ConfigView)

    async def async_get_status(self) -> StatusView:
        """Return the status as the node of the administration program sees it."""
        return await self._async_call("GET", "/v1/status", StatusView)

    async def async_explain(self, kind: str, name: str) -> Explanation:
        """Return why a group, VM, request or team is in its current state."""
        return await self._async_call("GET", f"/v1/explain/{kind}/{name}", Explanation)

    async def async_plan(self, operations: tuple[Operation, ...]) -> PlanView:
        """Return the effects that an edit would have, without submitting it."""
        body = PlanRequest(operations=operations)
        return await self._async_call("POST", "/v1/config/plan", PlanView, body)

    async def async_edit(
        self, base_revision: int, operations: tuple[Operation, ...]
    ) -> EditAccepted:
        """Submit an edit. Raises EditConflictError and EditRefusedError."""
        body = EditRequest(
            base_revision=base_revision,
            operations=operations,
            token=secrets.token_hex(EDIT_TOKEN_BYTES),
        )
        return await self._async_call("POST", "/v1/config/edits", EditAccepted, body)

    async def _async_call(
        self,
        method: str,
        path: str,
        model: type[ModelT],
        body: BaseModel | None = None,
    ) -> ModelT:
        errors: list[CliError] = []
        for address in self._addresses:
            try:
                return await self._async_request(address + path, method, model, body)
            except UnreachableError as exc:
                errors.append(exc)
        # A 503 response, which is about the table, says more than a failed connection.
        errors.sort(key=lambda error: error.code == UnreachableError.code)
        raise errors[0]

    async def _async_request(
        self, url: str, method: str, model: type[ModelT], body: BaseModel | None
    ) -> ModelT:
        data = None if body is None else body.model_dump_json().encode()
        try:
            async with self._session.request(
                method, url, data=data, headers=self._headers, timeout=_TIMEOUT
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise UnreachableError(
                f"{url}: {str(exc) or type(exc).__name__}",
                field="--admin",
                fix="check the address, or name the addresses of other entry VMs",
            ) from exc
        if response.status == _STATUS_OK:
            return _parse_response(url, model, content)
        raise _create_error(url, response.status, content)


def _parse_response(url: str, model: type[ModelT], content: bytes) -> ModelT:
    try:
        return model.model_validate_json(content)
    except ValidationError as exc:
        raise CliError(
            f"{url} returned a response that this version cannot parse",
            fix="use the command line of the same version as the admin program",
        ) from exc


def _create_error(url: str, status: int, content: bytes) -> CliError:
    details: dict[str, Any]
    match status:
        case 409:
            conflict = _parse_response(url, ConflictResponse, content).error
            details = conflict.model_dump(mode="json", exclude={"code", "message"})
            return EditConflictError(
                conflict.message,
                field="base_revision",
                fix="read the accepted changes, then apply to the new revision",
                explanation=conflict_lines(conflict),
                details=details,
            )
        case 422:
            refused = _parse_response(url, RefusedResponse, content).error
            details = refused.model_dump(mode="json", exclude={"code", "message"})
            return EditRefusedError(
                refused.message,
                explanation=finding_lines(refused.findings),
                details=details,
            )
    error = _parse_response(url, ErrorResponse, content).error
    error_class = UnreachableError if status == _STATUS_UNAVAILABLE else CliError
    return error_class(
        error.message,
        field=error.field or "",
        fix=error.fix or "",
        code=error.code,
    )
