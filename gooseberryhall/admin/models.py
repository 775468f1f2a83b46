"""Requests and responses of the administration API."""

from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

from ..config.const import MAX_OPERATIONS
from ..config.difference import ObjectDifference
from ..config.findings import Finding
from ..config.models import AnyObject
from ..config.operations import Change, Operation

Revision = Annotated[int, Field(ge=0)]
EditToken = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{16,64}$")]
Operations = Annotated[
    tuple[Operation, ...], Field(min_length=1, max_length=MAX_OPERATIONS)
]


class ApiModel(BaseModel):
    """Base class of the models of the API."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class EditRequest(ApiModel):
    """An edit; when retried with the same `token`, it is accepted at most once."""

    base_revision: Revision
    operations: Operations
    token: EditToken | None = None


class PlanRequest(ApiModel):
    """An edit to check without accepting it."""

    operations: Operations


class ConfigView(ApiModel):
    """The declared objects, from the table or from the copy of this process."""

    revision: int
    source: Literal["table", "memory"]
    objects: tuple[AnyObject, ...]


class EditAccepted(ApiModel):
    """The accepted change and the warnings about it."""

    change: Change
    findings: tuple[Finding, ...]


class EditConflictView(ApiModel):
    """Both sides of a conflict: the refused operations and the accepted changes."""

    code: Literal["conflict"] = "conflict"
    message: str
    base_revision: int
    revision: int
    operations: tuple[Operation, ...]
    accepted: tuple[Change, ...]


class ConflictResponse(ApiModel):
    """The body of a 409 response."""

    error: EditConflictView


class EditRefusedView(ApiModel):
    """The findings that refuse an edit."""

    code: Literal["refused"] = "refused"
    message: str
    findings: tuple[Finding, ...]


class RefusedResponse(ApiModel):
    """The body of a 422 response."""

    error: EditRefusedView


class PlanView(ApiModel):
    """The effects that an edit would have."""

    revision: int
    accepted: bool
    findings: tuple[Finding, ...]
    differences: tuple[ObjectDifference, ...]
    affected_groups: tuple[str, ...]
    affected_vms: tuple[str, ...]


class ChangeView(ApiModel):
    """An accepted change in the audit."""

    revision: int
    actor: str
    accepted_at_s: float
    differences: tuple[ObjectDifference, ...]


class ChangesView(ApiModel):
    """A page of accepted changes; `more` is true if newer ones follow."""

    revision: int
    changes: tuple[ChangeView, ...]
    more: bool


class GroupStatus(ApiModel):
    """A group as this process sees it; `closed` is None while it serves."""

    group: str
    spec: str
    zone: str
    phase: str
    generation: int
    members: tuple[str, ...]
    closed: str | None


class SpecStatus(ApiModel):
    """Numbers of groups of a spec: serving, existing and declared."""

    spec: str
    serving: int
    groups: int
    min_groups: int
    max_groups: int


class StatusView(ApiModel):
    """The state of the system as this process sees it."""

    node: str
    zone: str
    revision: int
    table_reachable: bool
    table_revision: int | None
    control_linked: bool
    specs: tuple[SpecStatus, ...]
    groups: tuple[GroupStatus, ...]
    vms_with_evidence: int
    vms_not_answering: tuple[str, ...]


class Explanation(ApiModel):
    """The reasons for the state of a group, VM, request or team."""

    kind: Literal["group", "vm", "request", "team"]
    name: str
    summary: str
    reasons: tuple[str, ...] = ()
    details: dict[str, Any] = {}


class ErrorView(ApiModel):
    """An error with the invalid field and how to fix it."""

    code: str
    message: str
    field: str | None = None
    fix: str | None = None


class ErrorResponse(ApiModel):
    """The body of all other error responses."""

    error: ErrorView
