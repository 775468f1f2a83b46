"""Errors and error responses of the entry program."""

import json
import math
from http import HTTPStatus
from typing import Any

from sanic import HTTPResponse, Request
from sanic.exceptions import PayloadTooLarge, SanicException
from sanic.http import Http

from ..const import HEADER_REQUEST_ID
from ..exceptions import Executed
from ..requests.exceptions import RequestFailedError
from ..requests.models import Failure

_JSON = "application/json"


def invalid_request(code: str, message: str, status: int = 400) -> RequestFailedError:
    """Return the error for an invalid request."""
    return RequestFailedError(
        Failure(status, "invalid_request_error", code, message, Executed.NO)
    )


def unauthorized() -> RequestFailedError:
    """Return the error for a missing or unknown token; both get the same response."""
    return RequestFailedError(
        Failure(
            HTTPStatus.UNAUTHORIZED,
            "authentication_error",
            "invalid_token",
            "a valid bearer token is required",
            Executed.NO,
        )
    )


def node_stopping() -> RequestFailedError:
    """Return the error for a request that arrives while the node is stopping."""
    return RequestFailedError(
        Failure(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "unavailable_error",
            "stopping",
            "this node is stopping",
            Executed.NO,
            0.0,
        )
    )


def internal_failure(ran: Executed) -> Failure:
    """Return the failure of a request because of a fault in this program."""
    return Failure(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        "internal_error",
        "internal_error",
        "the request failed inside the entry program",
        ran,
    )


def close_after_response(http: Request) -> None:
    """Make the HTTP server close the caller's connection after the response."""
    if isinstance(http.stream, Http):
        http.stream.keep_alive = False


def error_body(failure: Failure, request_id: str) -> dict[str, Any]:
    """Return the JSON body of an error."""
    error: dict[str, Any] = {
        "type": failure.kind,
        "code": failure.code,
        "message": failure.message,
        "ran": failure.ran.value,
        "request_id": request_id,
    }
    if failure.earlier_attempts is not None:
        error["earlier_attempts"] = failure.earlier_attempts.value
    if failure.retry_after_s is not None:
        error["retry_after_s"] = round(failure.retry_after_s, 3)
    return {"error": error}


def error_response(failure: Failure, request_id: str) -> HTTPResponse:
    """Return an HTTP response with an error body."""
    headers = {HEADER_REQUEST_ID: request_id}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(failure.retry_after_s))
    if failure.status == HTTPStatus.UNAUTHORIZED:
        headers["WWW-Authenticate"] = "Bearer"
    body = json.dumps(error_body(failure, request_id))
    return HTTPResponse(body, failure.status, headers, _JSON)


def sanic_failure(exc: SanicException) -> Failure:
    """Return the failure of a request that the HTTP server refused."""
    if isinstance(exc, PayloadTooLarge):
        if "header" in str(exc):
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            return _server_refusal(status, "headers_too_large", str(exc))
        status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        return _server_refusal(status, "body_too_large", str(exc))
    status = HTTPStatus(exc.status_code)
    return _server_refusal(status, status.name.lower(), status.phrase)


def _server_refusal(status: HTTPStatus, code: str, message: str) -> Failure:
    kind = "invalid_request_error"
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        kind = "unavailable_error"
    return Failure(status, kind, code, message, Executed.NO)
