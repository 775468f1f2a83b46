"""Reads files of declared objects and builds edits from them."""

from pathlib import Path

from pydantic import BaseModel, ConfigDict, ValidationError

from ..admin.models import ConfigView
from ..config.models import AnyObject
from ..config.operations import Operation, PutObject
from .exceptions import CliError


class ObjectsFile(BaseModel):
    """File of declared objects.

    `get --output json` also writes `revision` and `source`. The revision is then the
    base of the edit.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    objects: tuple[AnyObject, ...]
    revision: int | None = None
    source: str | None = None


def read_objects(file: Path) -> ObjectsFile:
    """Read and validate a file of objects. Raises CliError."""
    try:
        return ObjectsFile.model_validate_json(file.read_bytes())
    except OSError as exc:
        raise CliError(
            f"{file}: {exc.strerror}", field="FILE", fix="check the path"
        ) from exc
    except ValidationError as exc:
        errors = exc.errors(include_url=False, include_input=False)
        lines = [f"{_field_path(item['loc'])}: {item['msg']}" for item in errors]
        raise CliError(
            f"{file} has {len(lines)} errors",
            field="FILE",
            fix="correct the named fields; docs/configuration.md describes them",
            code="malformed_file",
            explanation=lines,
            details={"errors": lines},
        ) from exc


def build_operations(file: ObjectsFile, current: ConfigView) -> tuple[Operation, ...]:
    """Return put operations for the objects that differ from the current ones."""
    current_objects = {(item.kind, item.name): item for item in current.objects}
    return tuple(
        PutObject(object=item)
        for item in file.objects
        if current_objects.get((item.kind, item.name)) != item
    )


def _field_path(location: tuple[int | str, ...]) -> str:
    return ".".join(str(part) for part in location) or "(top level)"
