"""Parses the label arguments of the command line."""

from collections.abc import Iterable

from pydantic import ValidationError

from ..config.models import RequestKind, Team, VmLabels
from .exceptions import CliError

LabelledObject = Team | RequestKind | VmLabels


def update_labels(item: LabelledObject, arguments: Iterable[str]) -> LabelledObject:
    """Return a copy of the object with the label changes applied.

    Each argument is KEY=VALUE, which sets a label, or KEY-, which removes it. Raises
    CliError.
    """
    labels = dict(item.labels)
    for argument in arguments:
        key, separator, value = argument.partition("=")
        if separator:
            labels[key] = value
        elif argument.endswith("-"):
            labels.pop(argument[:-1], None)
        else:
            raise CliError(
                f"{argument!r} neither sets nor removes a label",
                field="labels",
                fix=f"write {argument}=VALUE to set it or {argument}- to remove it",
                code="malformed_label",
            )
    try:
        return type(item).model_validate(item.model_dump() | {"labels": labels})
    except ValidationError as exc:
        first = exc.errors(include_url=False)[0]
        field = ".".join(str(part) for part in first["loc"])
        raise CliError(
            first["msg"],
            field=field,
            fix="use letters, digits, '-', '_' and '.', at most 63 characters",
            code="malformed_label",
        ) from exc
