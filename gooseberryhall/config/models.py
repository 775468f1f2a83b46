"""Declared objects, validated when they enter a process."""

from enum import StrEnum
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

from .selectors import SelectorText

Name = Annotated[
    str, StringConstraints(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")
]
LabelKey = Annotated[
    str,
    StringConstraints(pattern=r"^[A-Za-z0-9]([A-Za-z0-9_./-]{0,61}[A-Za-z0-9])?$"),
]
LabelValue = Annotated[
    str,
    StringConstraints(pattern=r"^([A-Za-z0-9]([A-Za-z0-9_.-]{0,61}[A-Za-z0-9])?)?$"),
]
Labels = dict[LabelKey, LabelValue]
Sha256Hex = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
HttpAddress = Annotated[str, StringConstraints(pattern=r"^https?://[^/\s]+$")]


class ObjectKind(StrEnum):
    """Kinds of declared objects."""

    TEAM = "team"
    REQUEST_KIND = "request-kind"
    GROUP_SPEC = "group-spec"
    PLAIN_SERVICE = "plain-service"
    VM_LABELS = "vm-labels"
    POLICY = "policy"


class DeclaredObject(BaseModel):
    """Base of all declared objects."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: Name


class Team(DeclaredObject):
    """A team of callers with its tokens and limits."""

    kind: Literal[ObjectKind.TEAM] = ObjectKind.TEAM
    labels: Labels = {}
    token_sha256: tuple[Sha256Hex, ...] = ()
    weight: Annotated[int, Field(ge=1, le=1000)] = 1
    requests_per_s: Annotated[float, Field(gt=0)] = 50.0
    max_in_flight: Annotated[int, Field(ge=1)] = 64
    priority: Annotated[int, Field(ge=0, le=9)] = 5


class RequestKind(DeclaredObject):
    """A kind of request, recognised by method and path prefix.

    Exactly one of `service` and `model` is set. Paths of a plain service are relative
    to the service; a model's requests have the path `/v1/chat/completions`.
    """

    kind: Literal[ObjectKind.REQUEST_KIND] = ObjectKind.REQUEST_KIND
    labels: Labels = {}
    service: Name | None = None
    model: str | None = None
    method: Literal["GET", "POST", "PUT", "DELETE", "PATCH"] = "POST"
    path_prefix: Annotated[str, StringConstraints(pattern=r"^/")] = "/"
    idempotent: bool = False


class GroupSpec(DeclaredObject):
    """Declares the serving groups of one model."""

    kind: Literal[ObjectKind.GROUP_SPEC] = ObjectKind.GROUP_SPEC
    model: Annotated[str, StringConstraints(min_length=1, max_length=128)]
    version: Annotated[str, StringConstraints(min_length=1, max_length=64)]
    adapters: tuple[str, ...] = ()
    members: Annotated[int, Field(ge=1, le=64)]
    min_groups: Annotated[int, Field(ge=0)] = 1
    max_groups: Annotated[int, Field(ge=1)] = 1
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    max_requests_per_group: Annotated[int, Field(ge=1)] = 32
    vm_selector: SelectorText
    team_selector: SelectorText
    kind_selector: SelectorText


class ServiceServer(BaseModel):
    """A server of a plain service."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: Name
    zone: Name
    address: HttpAddress


class PlainService(DeclaredObject):
    """A plain service and its servers."""

    kind: Literal[ObjectKind.PLAIN_SERVICE] = ObjectKind.PLAIN_SERVICE
    labels: Labels = {}
    servers: tuple[ServiceServer, ...]
    max_in_flight_per_server: Annotated[int, Field(ge=1)] = 32


class VmLabels(DeclaredObject):
    """The labels that the operator gave to a VM."""

    kind: Literal[ObjectKind.VM_LABELS] = ObjectKind.VM_LABELS
    labels: Labels = {}


class Policy(DeclaredObject):
    """Deployment-wide parameters; the only object has the name `default`."""

    kind: Literal[ObjectKind.POLICY] = ObjectKind.POLICY
    downtime_weight: Annotated[float, Field(ge=0)] = 1.0
    stranded_weight: Annotated[float, Field(ge=0)] = 1.0
    max_concurrent_loads: Annotated[int, Field(ge=1)] = 8
    table_writes_per_s: Annotated[int, Field(ge=1)] = 300


AnyObject = Annotated[
    Team | RequestKind | GroupSpec | PlainService | VmLabels | Policy,
    Field(discriminator="kind"),
]
