"""The routes of the administration API, used by the server and the description."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from sanic import Request

from .auth import Actor, Role
from .edits import (
    async_accept_edit,
    async_list_changes,
    async_plan,
    async_view_config,
)
from .exceptions import MalformedRequestError
from .explain import (
    add_planner_view,
    explain_group,
    explain_request,
    explain_team,
    explain_vm,
)
from .models import (
    ChangesView,
    ConfigView,
    ConflictResponse,
    EditAccepted,
    EditConflictView,
    EditRefusedView,
    EditRequest,
    Explanation,
    PlanRequest,
    PlanView,
    RefusedResponse,
    StatusView,
)
from .services import AdminServices
from .status import async_view_status

ModelT = TypeVar("ModelT", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class RouteResponse:
    """HTTP status and body of a response."""

    status: int
    body: BaseModel


@dataclass(frozen=True, slots=True)
class Parameter:
    """A parameter in the path or the query."""

    name: str
    location: str
    description: str
    values: tuple[str, ...] = ()


Handler = Callable[[AdminServices, Actor, Request], Awaitable[RouteResponse]]


@dataclass(frozen=True, slots=True)
class Route:
    """An operation of the API; `responses` maps HTTP statuses to body models."""

    method: str
    path: str
    summary: str
    role: Role
    handler: Handler
    responses: dict[int, type[BaseModel]]
    body: type[BaseModel] | None = None
    parameters: tuple[Parameter, ...] = ()


async def async_get_config(
    services: AdminServices, _actor: Actor, _req: Request
) -> RouteResponse:
    """Return the configuration."""
    return RouteResponse(200, await async_view_config(services))


async def async_post_edit(
    services: AdminServices, actor: Actor, req: Request
) -> RouteResponse:
    """Accept an edit."""
    outcome = await async_accept_edit(services, actor, read_body(req, EditRequest))
    match outcome:
        case EditConflictView():
            return RouteResponse(409, ConflictResponse(error=outcome))
        case EditRefusedView():
            return RouteResponse(422, RefusedResponse(error=outcome))
    return RouteResponse(200, outcome)


async def async_post_plan(
    services: AdminServices, _actor: Actor, req: Request
) -> RouteResponse:
    """Return the effects that an edit would have."""
    plan = await async_plan(services, read_body(req, PlanRequest).operations)
    return RouteResponse(200, plan)


async def async_get_changes(
    services: AdminServices, _actor: Actor, req: Request
) -> RouteResponse:
    """Return a page of the audit."""
    after = req.args.get("after", "0")
    if not (after.isascii() and after.isdigit()):
        raise MalformedRequestError(
            f"{after!r} is not a revision", field="after", fix="pass a number from 0"
        )
    return RouteResponse(200, await async_list_changes(services, int(after)))


async def async_get_status(
    services: AdminServices, _actor: Actor, _req: Request
) -> RouteResponse:
    """Return the status."""
    return RouteResponse(200, await async_view_status(services))


async def async_get_explanation(
    services: AdminServices, _actor: Actor, req: Request
) -> RouteResponse:
    """Return an explanation."""
    kind, name = req.match_info["kind"], req.match_info["name"]
    state, now_s = services.runtime.state, services.clock()
    match kind:
        case "group":
            explanation = explain_group(state, name, now_s)
            planner = await services.async_read_planner()
            return RouteResponse(200, add_planner_view(explanation, planner))
        case "vm":
            explanation = explain_vm(state, name, now_s)
            planner = await services.async_read_planner()
            return RouteResponse(200, add_planner_view(explanation, planner))
        case "team":
            return RouteResponse(200, explain_team(state, name))
        case "request":
            events = await services.async_read_timeline(name)
            return RouteResponse(200, explain_request(name, events))
    raise MalformedRequestError(
        f"{kind!r} cannot be explained",
        field="kind",
        fix="use one of group, vm, request and team",
    )


def read_body(req: Request, model: type[ModelT]) -> ModelT:
    """Return the validated body. Raises MalformedRequestError."""
    try:
        return model.model_validate_json(req.body)
    except ValidationError as exc:
        first_error = exc.errors(include_url=False, include_input=False)[0]
        field = ".".join(str(part) for part in first_error["loc"]) or "body"
        raise MalformedRequestError(
            f"{field}: {first_error['msg']}",
            field=field,
            fix="correct the field; docs/openapi.json describes the body",
        ) from exc


ROUTES: tuple[Route, ...] = (
    Route(
        "GET",
        "/v1/config",
        "Return the declared objects and their revision",
        Role.READER,
        async_get_config,
        {200: ConfigView},
    ),
    Route(
        "POST",
        "/v1/config/edits",
        "Accept an edit based on a revision",
        Role.EDITOR,
        async_post_edit,
        {200: EditAccepted, 409: ConflictResponse, 422: RefusedResponse},
        EditRequest,
    ),
    Route(
        "POST",
        "/v1/config/plan",
        "Check an edit and describe its effects without accepting it",
        Role.READER,
        async_post_plan,
        {200: PlanView},
        PlanRequest,
    ),
    Route(
        "GET",
        "/v1/config/changes",
        "List accepted changes",
        Role.READER,
        async_get_changes,
        {200: ChangesView},
        parameters=(Parameter("after", "query", "List changes after this revision."),),
    ),
    Route(
        "GET",
        "/v1/status",
        "Return the state of the system as this process sees it",
        Role.READER,
        async_get_status,
        {200: StatusView},
    ),
    Route(
        "GET",
        "/v1/explain/<kind:str>/<name:str>",
        "Explain the state of a group, VM, request or team",
        Role.READER,
        async_get_explanation,
        {200: Explanation},
        parameters=(
            Parameter(
                "kind",
                "path",
                "What to explain.",
                ("group", "vm", "request", "team"),
            ),
            Parameter("name", "path", "Its name."),
        ),
    ),
)
