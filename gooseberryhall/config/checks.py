"""Checks of an edit against the whole configuration.

Errors refuse the edit. Warnings explain consequences that the operator may not expect.
Findings that the configuration has without the edit are not reported.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

from .configuration import Configuration, Objects, format_names
from .const import (
    DRAIN_LABEL,
    DRAIN_VALUE,
    MAX_EDIT_BYTES,
    MAX_OPERATIONS,
    POLICY_NAME,
    RESERVED_LABEL_PREFIX,
)
from .findings import Finding, Level, error, warning
from .models import (
    AnyObject,
    GroupSpec,
    PlainService,
    Policy,
    RequestKind,
    Team,
    VmLabels,
)
from .operations import DeleteObject, Operation, PutObject, apply_operations
from .spec_checks import check_overlaps, check_specs

Check = Callable[[Configuration], Iterator[Finding]]


def check_edit(
    objects: Objects,
    operations: Sequence[Operation],
    vms: Mapping[str, str] | None = None,
) -> list[Finding]:
    """Return the findings of an edit, errors first.

    `vms` maps the listed VMs to their fabric domains; None skips the checks of VMs.
    """
    findings = list(_check_operations(objects, operations))
    after = dict(objects)
    apply_operations(after, operations)
    existing = set(_check_configuration(Configuration(objects, vms)))
    findings += [
        finding
        for finding in _check_configuration(Configuration(after, vms))
        if finding not in existing
    ]
    return sorted(findings, key=lambda finding: finding.level is Level.WARNING)


def has_errors(findings: Iterable[Finding]) -> bool:
    """Return whether any finding refuses the edit."""
    return any(finding.level is Level.ERROR for finding in findings)


def _check_operations(
    objects: Objects, operations: Sequence[Operation]
) -> Iterator[Finding]:
    size = sum(len(operation.model_dump_json()) for operation in operations)
    if size > MAX_EDIT_BYTES or len(operations) > MAX_OPERATIONS:
        yield error(
            None,
            "operations",
            f"the edit has {len(operations)} operations and {size} bytes; the limits "
            f"are {MAX_OPERATIONS} operations and {MAX_EDIT_BYTES} bytes",
            "split it into several edits",
        )
    for key, count in Counter(item.key for item in operations).items():
        if count > 1:
            yield error(
                key,
                "operations",
                f"the edit changes this object {count} times",
                "name each object once in an edit",
            )
    for operation in operations:
        if isinstance(operation, DeleteObject) and operation.key not in objects:
            yield error(
                operation.key,
                "name",
                "the object to delete does not exist",
                "list the objects with `get`",
            )
        if isinstance(operation, PutObject):
            yield from _check_reserved(operation.object)


def _check_reserved(item: AnyObject) -> Iterator[Finding]:
    for key, value in getattr(item, "labels", {}).items():
        if not key.startswith(RESERVED_LABEL_PREFIX):
            continue
        if isinstance(item, VmLabels) and (key, value) == (DRAIN_LABEL, DRAIN_VALUE):
            continue
        yield error(
            (item.kind, item.name),
            f"labels.{key}",
            f"labels that start with {RESERVED_LABEL_PREFIX} are reserved",
            f"remove it; only VMs take one of them, {DRAIN_LABEL}={DRAIN_VALUE}",
        )


def _check_configuration(config: Configuration) -> Iterator[Finding]:
    for check in _CHECKS:
        yield from check(config)


def _check_policy(config: Configuration) -> Iterator[Finding]:
    for policy in config.of_type(Policy):
        if policy.name != POLICY_NAME:
            yield error(
                (policy.kind, policy.name),
                "name",
                f"there is one policy, named {POLICY_NAME}",
                f"change the name to {POLICY_NAME}",
            )


def _check_tokens(config: Configuration) -> Iterator[Finding]:
    teams_by_token: dict[str, str] = {}
    for team in config.of_type(Team):
        for index, token in enumerate(team.token_sha256):
            first_team = teams_by_token.setdefault(token, team.name)
            if first_team != team.name:
                yield error(
                    (team.kind, team.name),
                    f"token_sha256.{index}",
                    f"team {first_team} has the same token",
                    "give each team its own token",
                )
        if not team.token_sha256:
            yield warning(
                (team.kind, team.name),
                "token_sha256",
                "the team has no token, so it cannot send requests",
                "add the SHA-256 of a token",
            )


def _check_request_kinds(config: Configuration) -> Iterator[Finding]:
    models = {spec.model for spec in config.of_type(GroupSpec)}
    services = {service.name for service in config.of_type(PlainService)}
    names_by_route: dict[tuple[str | None, str | None, str, str], str] = {}
    for kind in config.of_type(RequestKind):
        yield from _check_target(kind, models, services)
        route = (kind.service, kind.model, kind.method, kind.path_prefix)
        other = names_by_route.setdefault(route, kind.name)
        if other != kind.name:
            yield error(
                (kind.kind, kind.name),
                "path_prefix",
                f"request kind {other} has the same target, method and path prefix",
                "change one of them or delete the other kind",
            )


def _check_target(
    kind: RequestKind, models: set[str], services: set[str]
) -> Iterator[Finding]:
    key = (kind.kind, kind.name)
    if (kind.service is None) == (kind.model is None):
        yield error(
            key,
            "service",
            "a request kind has either a service or a model",
            "set exactly one of `service` and `model`",
        )
        return
    if kind.service is not None and kind.service not in services:
        yield error(
            key,
            "service",
            f"plain service {kind.service!r} is not declared",
            f"declare it in the same edit, or use one of: {format_names(services)}",
        )
    if kind.model is not None and kind.model not in models:
        yield error(
            key,
            "model",
            f"no group spec serves the model {kind.model!r}",
            f"declare a spec in the same edit, or use one of: {format_names(models)}",
        )


def _check_services(config: Configuration) -> Iterator[Finding]:
    for service in config.of_type(PlainService):
        key = (service.kind, service.name)
        for name, count in Counter(item.name for item in service.servers).items():
            if count > 1:
                yield error(
                    key,
                    "servers",
                    f"{count} servers have the name {name}",
                    "give each server its own name",
                )
        if not service.servers:
            yield warning(
                key,
                "servers",
                "the service has no servers, so its requests are refused",
                "add a server",
            )


def _check_vm_labels(config: Configuration) -> Iterator[Finding]:
    if config.vms is None:
        return
    for item in config.of_type(VmLabels):
        if item.name not in config.vms:
            yield warning(
                (item.kind, item.name),
                "name",
                "the platform does not list this VM",
                "check the name; the labels apply when the VM appears",
            )


_CHECKS: tuple[Check, ...] = (
    _check_policy,
    _check_tokens,
    _check_request_kinds,
    _check_services,
    _check_vm_labels,
    check_specs,
    check_overlaps,
)
