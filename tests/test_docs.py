"""Tests of the examples in the documentation."""

import json
import re
from pathlib import Path

from gooseberryhall.cli.files import ObjectsFile
from gooseberryhall.config.checks import check_edit
from gooseberryhall.config.models import DeclaredObject
from gooseberryhall.config.operations import PutObject
from gooseberryhall.settings.models import NodeSettings

DOCS = Path(__file__).parent.parent / "docs"


def test_first_configuration_has_no_findings() -> None:
    """The example must pass the checks, or operators who follow it get errors."""
    (example,) = re.findall(r"```json\n(.*?)```", (DOCS / "cli.md").read_text(), re.S)
    objects = ObjectsFile.model_validate(json.loads(example)).objects
    assert check_edit({}, [PutObject(object=item) for item in objects]) == []


def test_reference_names_every_field() -> None:
    """Operators cannot find a field that the reference omits."""
    text = (DOCS / "configuration.md").read_text()
    kinds: list[type[DeclaredObject]] = DeclaredObject.__subclasses__()
    names = {name for kind in kinds for name in kind.model_fields}
    for name, field in NodeSettings.model_fields.items():
        section = getattr(field.annotation, "model_fields", None)
        names |= {f"{name}.{key}" for key in section} if section else {name}
    assert [name for name in sorted(names) if f"`{name}`" not in text] == []
