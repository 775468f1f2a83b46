"""Finds the request kind of a request and the group spec that serves it."""

from collections.abc import Mapping

from ..config.models import GroupSpec, RequestKind, Team
from ..config.selectors import parse_selector
from ..config.state import ConfigState


def find_model_kind(
    config: ConfigState, model: str, method: str, path: str
) -> RequestKind | None:
    """Return the kind of a model request by the longest matching path prefix."""
    return _longest_prefix_match(
        [kind for kind in config.of_type(RequestKind) if kind.model == model],
        method,
        path,
    )


def find_service_kind(
    config: ConfigState, service: str, method: str, path: str
) -> RequestKind | None:
    """Return the kind of a service request by the longest matching path prefix."""
    return _longest_prefix_match(
        [kind for kind in config.of_type(RequestKind) if kind.service == service],
        method,
        path,
    )


def choose_spec(
    config: ConfigState, team: Team, kind: RequestKind | None, model: str
) -> GroupSpec | None:
    """Return the spec that serves a team's requests of a kind for a model.

    If several specs match, the one with the highest priority is used, then the one with
    the first name.
    """
    kind_labels = kind.labels if kind is not None else {}
    matching = [
        spec
        for spec in config.of_type(GroupSpec)
        if spec.model == model and _selects(spec, team.labels, kind_labels)
    ]
    return min(matching, key=lambda spec: (-spec.priority, spec.name), default=None)


def _selects(
    spec: GroupSpec, team_labels: Mapping[str, str], kind_labels: Mapping[str, str]
) -> bool:
    return parse_selector(spec.team_selector).matches(team_labels) and parse_selector(
        spec.kind_selector
    ).matches(kind_labels)


def _longest_prefix_match(
    kinds: list[RequestKind], method: str, path: str
) -> RequestKind | None:
    matching = [
        kind
        for kind in kinds
        if kind.method == method and _has_prefix(path, kind.path_prefix)
    ]
    return min(
        matching, key=lambda kind: (-len(kind.path_prefix), kind.name), default=None
    )


def _has_prefix(path: str, prefix: str) -> bool:
    """Match whole path segments, so that `/fan` does not match `/fans`."""
    if prefix.endswith("/"):
        return path.startswith(prefix)
    return path == prefix or path.startswith(prefix + "/")
