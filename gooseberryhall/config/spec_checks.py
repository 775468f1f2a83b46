"""Checks of group specs and explanations of their selectors."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import combinations

from .configuration import Configuration, format_names
from .const import DRAIN_LABEL
from .findings import Finding, error, warning
from .models import GroupSpec, RequestKind, Team, VmLabels
from .selectors import Selector, parse_selector

# Name of the request kind that stands for requests of a model without declared kinds.
UNDECLARED_KIND = "no-declared-kind"


def spec_sort_key(spec: GroupSpec) -> tuple[int, str]:
    """Return a sort key that puts the spec that wins an overlap first."""
    return (-spec.priority, spec.name)


def check_specs(config: Configuration) -> Iterator[Finding]:
    """Check the limits and selectors of each spec."""
    for spec in config.of_type(GroupSpec):
        if spec.min_groups > spec.max_groups:
            yield error(
                (spec.kind, spec.name),
                "min_groups",
                f"min_groups {spec.min_groups} is above max_groups {spec.max_groups}",
                "lower min_groups or raise max_groups",
            )
        yield from _check_vm_selector(config, spec)
        yield from _check_selector_matches(
            spec, "team_selector", config.of_type(Team), "team"
        )
        kinds = _kinds_of_model(config, spec.model)
        yield from _check_selector_matches(
            spec, "kind_selector", kinds, f"request kind of the model {spec.model}"
        )


def _check_vm_selector(config: Configuration, spec: GroupSpec) -> Iterator[Finding]:
    labelled = config.of_type(VmLabels)
    selector = parse_selector(spec.vm_selector)
    matching = [item for item in labelled if selector.matches(item.labels)]
    if not matching:
        yield from _check_selector_matches(spec, "vm_selector", labelled, "labelled VM")
        return
    usable = [item.name for item in matching if DRAIN_LABEL not in item.labels]
    groups = max(spec.min_groups, 1)
    if config.vms is not None:
        usable = [name for name in usable if name in config.vms]
        units = "fabric domains"
        possible = _count_possible_groups(config.vms, usable, spec.members)
    else:
        units = "VMs"
        possible = len(usable) // spec.members
    if possible < groups:
        yield warning(
            (spec.kind, spec.name),
            "vm_selector",
            f"it selects {len(usable)} usable VMs (of {len(matching)} labelled); their "
            f"{units} hold {possible} of {groups} groups with {spec.members} members",
            "label more VMs of one fabric domain, undrain VMs or lower min_groups",
        )


def _count_possible_groups(
    domains: Mapping[str, str], usable: Iterable[str], members: int
) -> int:
    """Return how many groups fit if each uses VMs of a single fabric domain."""
    counts = Counter(domains[name] for name in usable)
    return sum(count // members for count in counts.values())


def _check_selector_matches(
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
    """Describe which requirement of a selector excludes the last items."""
    if not items:
        return "none is declared"
    remaining = list(items)
    for requirement in selector.requirements:
        candidates = remaining
        remaining = [item for item in candidates if requirement.matches(item.labels)]
        if remaining:
            continue
        values = {item.labels.get(requirement.key, "(not set)") for item in candidates}
        return (
            f"the requirement on {requirement.key!r} excludes the last "
            f"{len(candidates)}, which have {format_names(values)}"
        )
    return "no object meets all requirements"


def check_overlaps(config: Configuration) -> Iterator[Finding]:
    """Explain which of two specs takes traffic that both select."""
    specs = sorted(config.of_type(GroupSpec), key=spec_sort_key)
    for winner, loser in combinations(specs, 2):
        if winner.model != loser.model:
            continue
        teams = _names_selected_by_both(
            config.of_type(Team), winner, loser, "team_selector"
        )
        kinds = _kinds_of_model(config, winner.model)
        kind_names = _names_selected_by_both(kinds, winner, loser, "kind_selector")
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
            f"{format_names(teams)} with the request kinds {format_names(kind_names)}; "
            f"{winner.name} takes this traffic, because {reason}",
            "change priority, team_selector or kind_selector if that is not wanted",
        )


def _kinds_of_model(config: Configuration, model: str) -> list[RequestKind]:
    """Return the declared kinds of a model's requests.

    Without one, its requests have no labels, which selectors such as `!batch` match.
    """
    kinds = [kind for kind in config.of_type(RequestKind) if kind.model == model]
    return kinds or [RequestKind(name=UNDECLARED_KIND, model=model)]


def _names_selected_by_both(
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
