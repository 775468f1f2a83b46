"""The OpenAPI description of the administration API."""

import json
import re
from collections.abc import Mapping
from typing import Any

from pydantic import BaseModel
from pydantic.json_schema import JsonSchemaMode, models_json_schema

from .const import API_TITLE, API_VERSION
from .models import ErrorResponse
from .routes import ROUTES, Parameter, Route

ModelMode = tuple[type[BaseModel], JsonSchemaMode]
# The key type of pydantic is wider than ModelMode, and key types are invariant.
References = Mapping[Any, dict[str, Any]]

OPENAPI_VERSION = "3.1.0"
OPENAPI_PATH = "/v1/openapi.json"
REF_TEMPLATE = "#/components/schemas/{model}"
_ERRORS = {
    400: "The body or a parameter is malformed.",
    401: "The token is missing or not known.",
    403: "The token's role does not allow this.",
    404: "The named thing does not exist.",
    413: "The body is too large.",
    503: "The table does not answer.",
}
_PATH_PARAMETER = re.compile(r"<(\w+):\w+>")


def openapi_description() -> dict[str, Any]:
    """Return the OpenAPI description."""
    references, definitions = models_json_schema(
        sorted(_models(), key=lambda item: (item[0].__name__, item[1])),
        ref_template=REF_TEMPLATE,
    )
    paths: dict[str, dict[str, Any]] = {}
    for route in ROUTES:
        path = _PATH_PARAMETER.sub(r"{\1}", route.path)
        paths.setdefault(path, {})[route.method.lower()] = _operation(route, references)
    return {
        "openapi": OPENAPI_VERSION,
        "info": {"title": API_TITLE, "version": API_VERSION},
        "security": [{"token": []}],
        "paths": paths,
        "components": {
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
            "schemas": definitions["$defs"],
        },
    }


def openapi_text() -> str:
    """Return the description as it is committed in docs/openapi.json."""
    return json.dumps(openapi_description(), indent=2) + "\n"


def _models() -> set[ModelMode]:
    models: set[ModelMode] = {(ErrorResponse, "serialization")}
    for route in ROUTES:
        models.update((model, "serialization") for model in route.responses.values())
        if route.body is not None:
            models.add((route.body, "validation"))
    return models


def _operation(route: Route, references: References) -> dict[str, Any]:
    def describe_response(
        model: type[BaseModel], description: str = ""
    ) -> dict[str, Any]:
        content = _content(references[model, "serialization"])
        return {"description": description or model.__doc__, "content": content}

    responses = {
        str(code): describe_response(model) for code, model in route.responses.items()
    }
    for code, description in _ERRORS.items():
        responses[str(code)] = describe_response(ErrorResponse, description)
    operation: dict[str, Any] = {
        "summary": route.summary,
        "description": f"Needs the {route.role.name.lower()} role.",
        "responses": responses,
    }
    if route.parameters:
        operation["parameters"] = [_parameter(item) for item in route.parameters]
    if route.body is not None:
        content = _content(references[route.body, "validation"])
        operation["requestBody"] = {"required": True, "content": content}
    return operation


def _content(schema: dict[str, Any]) -> dict[str, Any]:
    return {"application/json": {"schema": schema}}


def _parameter(parameter: Parameter) -> dict[str, Any]:
    schema: dict[str, Any] = {"type": "string"}
    if parameter.values:
        schema["enum"] = list(parameter.values)
    return {
        "name": parameter.name,
        "in": parameter.location,
        "required": parameter.location == "path",
        "description": parameter.description,
        "schema": schema,
    }
