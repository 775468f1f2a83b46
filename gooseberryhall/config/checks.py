"""Checks of an edit against the whole configuration.

Errors refuse the edit. Warnings explain consequences that the operator may not expect;
only those that the edit brings about are reported.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations
from typing import TypeVar

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
    DeclaredObject,
    GroupSpec,
    PlainService,
    Policy,
    RequestKind,
    Team,
    VmLabels,
)
from .operations import DeleteObject, Operation, PutObject, apply_operations
from .selectors import Selector, parse_selector
from .state import ObjectKey

ObjectT = TypeVar("ObjectT", bound=DeclaredObject)
Objects = Mapping[ObjectKey, AnyObject]
Check = Callable[["Configuration"], Iterator[Finding]]

LISTED_NAMES = 3


@dataclass(frozen=True, slots=True)
class Configuration:
    """Declared objects together with the VMs that the platform lists.

    `vms` is empty while the list is not known; checks on it are then left out.
    """

    objects: Objects
    vms: frozenset[str] = frozenset()

    def of_type(self, object_type: type[ObjectT]) -> list[ObjectT]:
        """Return all objects of one type, sorted by name."""
        found = (
            item for item in self.objects.values() if isinstance(item, object_type)
        )
        return sorted(found, key=lambda item: item.name)


def check_edit(
    objects: Objects,
    operations: Sequence[Operation],
    vms: frozenset[str] = frozenset(),
) -> list[Finding]:
    """Return the findings of an edit, errors first."""
    findings = list(_check_operations(objects, operations))
    after = dict(objects)
    apply_operations(after, operations)
    known = set(_check_configuration(Configuration(objects, vms)))
    findings += [
        finding
        for finding in _check_configuration(Configuration(after, vms))
        if finding not in known
    ]
    return sorted(findings, key=lambda finding: finding.level is Level.WARNING)


def has_errors(findings: Iterable[Finding]) -> bool:
    """Return whether any finding refuses the edit."""
    return any(finding.level is Level.ERROR for finding in findings)


def spec_order(spec: GroupSpec) -> tuple[int, str]:
    """Return the sort key that puts the spec which wins an overlap first."""
    return (-spec.priority, spec.name)


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
    owners: dict[str, str] = {}
    for team in config.of_type(Team):
        for index, token in enumerate(team.token_sha256):
            owner = owners.setdefault(token, team.name)
            if owner != team.name:
                yield error(
                    (team.kind, team.name),
                    f"token_sha256.{index}",
                    f"team {owner} has the same token",
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
    seen: dict[tuple[str | None, str | None, str, str], str] = {}
    for kind in config.of_type(RequestKind):
        yield from _check_target(kind, models, services)
        route = (kind.service, kind.model, kind.method, kind.path_prefix)
        first = seen.setdefault(route, kind.name)
        if first != kind.name:
            yield error(
                (kind.kind, kind.name),
                "path_prefix",
                f"request kind {first} has the same target, method and path prefix",
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
    if kind.service is not None and kind.service not in services:
        yield error(
            key,
            "service",
            f"plain service {kind.service!r} is not declared",
            f"declare it in the same edit, or use one of: {_names(services)}",
        )
    if kind.model is not None and kind.model not in models:
        yield error(
            key,
            "model",
            f"no group spec serves the model {kind.model!r}",
            f"declare a spec in the same edit, or use one of: {_names(models)}",
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
    if not config.vms:
        return
    for item in config.of_type(VmLabels):
        if item.name not in config.vms:
            yield warning(
                (item.kind, item.name),
                "name",
                "the platform does not list this VM",
                "check the name; the labels apply when the VM appears",
            )


def _check_specs(config: Configuration) -> Iterator[Finding]:
    for spec in config.of_type(GroupSpec):
        if spec.min_groups > spec.max_groups:
            yield error(
                (spec.kind, spec.name),
                "min_groups",
                f"min_groups {spec.min_groups} is above max_groups {spec.max_groups}",
                "lower min_groups or raise max_groups",
            )
        yield from _check_vm_selector(config, spec)
        yield from _check_matches(spec, "team_selector", config.of_type(Team), "team")
        kinds = [k for k in config.of_type(RequestKind) if k.model == spec.model]
        yield from _check_matches(
            spec, "kind_selector", kinds, f"request kind of the model {spec.model}"
        )


def _check_vm_selector(config: Configuration, spec: GroupSpec) -> Iterator[Finding]:
    labelled = config.of_type(VmLabels)
    selector = parse_selector(spec.vm_selector)
    matching = [item for item in labelled if selector.matches(item.labels)]
    drained = [item for item in matching if DRAIN_LABEL in item.labels]
    usable = len(matching) - len(drained)
    groups = max(spec.min_groups, 1)
    if not matching:
        yield from _check_matches(spec, "vm_selector", labelled, "labelled VM")
    elif usable < spec.members * groups:
        yield warning(
            (spec.kind, spec.name),
            "vm_selector",
            f"it selects {usable} VMs besides {len(drained)} drained ones; {groups} "
            f"groups of {spec.members} members need {spec.members * groups}",
            "label more VMs, undrain VMs or lower min_groups",
        )


def _check_matches(
    spec: GroupSpec,
    field: str,
    items: Sequence[Team | RequestKind | VmLabels],
    noun: str,
) -> Iterator[Finding]:
    text = getattr(spec, field)
    selector = parse_selector(text)
    if any(selector.matches(item.labels) for item in items):
        return
    yield warning(
        (spec.kind, spec.name),
        field,
        f"{text!r} matches no {noun}: {explain_no_match(selector, items)}",
        "change the selector or the labels",
    )


def explain_no_match(
    selector: Selector, items: Sequence[Team | RequestKind | VmLabels]
) -> str:
    """Say which requirement of a selector leaves nothing."""
    if not items:
        return "none is declared"
    left = list(items)
    for requirement in selector.requirements:
        before = left
        left = [item for item in before if requirement.matches(item.labels)]
        if left:
            continue
        values = {item.labels.get(requirement.key, "(not set)") for item in before}
        return (
            f"the requirement on {requirement.key!r} excludes the last {len(before)}, "
            f"which have {_names(values)}"
        )
    return "no object meets all requirements"


def _check_overlaps(config: Configuration) -> Iterator[Finding]:
    """Explain which of two specs takes traffic that both select."""
    specs = sorted(config.of_type(GroupSpec), key=spec_order)
    for winner, loser in combinations(specs, 2):
        if winner.model != loser.model:
            continue
        teams = _common(config.of_type(Team), winner, loser, "team_selector")
        kinds = [k for k in config.of_type(RequestKind) if k.model == winner.model]
        kind_names = _common(kinds, winner, loser, "kind_selector")
        if not teams or not kind_names:
            continue
        reason = (
            f"its priority {winner.priority} is above {loser.priority}"
            if winner.priority != loser.priority
            else f"both have the priority {winner.priority} and its name sorts first"
        )
        yield warning(
            (loser.kind, loser.name),
            "team_selector",
            f"group spec {winner.name} for the same model also selects the teams "
            f"{_names(teams)} with the request kinds {_names(kind_names)}; "
            f"{winner.name} takes this traffic, because {reason}",
            "change priority, team_selector or kind_selector if that is not wanted",
        )


def _common(
    items: Sequence[Team | RequestKind],
    first: GroupSpec,
    second: GroupSpec,
    field: str,
) -> list[str]:
    selectors = [parse_selector(getattr(spec, field)) for spec in (first, second)]
    return [
        item.name
        for item in items
        if all(selector.matches(item.labels) for selector in selectors)
    ]


def _names(names: Iterable[str]) -> str:
    ordered = sorted(names)
    text = ", ".join(ordered[:LISTED_NAMES]) or "(none)"
    more = len(ordered) - LISTED_NAMES
    return f"{text} and {more} more" if more > 0 else text


_CHECKS: tuple[Check, ...] = (
    _check_policy,
    _check_tokens,
    _check_request_kinds,
    _check_services,
    _check_vm_labels,
    _check_specs,
    _check_overlaps,
)
