"""Label selectors in the syntax of Kubernetes.

A selector is a comma-separated list of requirements, all of which must hold:
`key=value`, `key==value`, `key!=value`, `key in (a,b)`, `key notin (a,b)`, `key` and
`!key`.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from functools import lru_cache
from typing import Annotated

from pydantic import AfterValidator

from .exceptions import SelectorError

_REQUIREMENT = re.compile(
    r"^(?:"
    r"(?P<set_key>[\w./-]+)\s+(?P<set_op>in|notin)\s*\((?P<values>[^()]*)\)"
    r"|(?P<key>[\w./-]+)\s*(?P<op>!=|==|=)\s*(?P<value>[\w.-]*)"
    r"|(?P<exists>!?\s*[\w./-]+)"
    r")$"
)
# Commas inside parentheses separate values instead of requirements.
_SEPARATOR = re.compile(r",(?![^()]*\))")


class Operator(StrEnum):
    """Operators of a requirement."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    NOT_EXISTS = "not_exists"


@dataclass(frozen=True, slots=True)
class Requirement:
    """One condition on a label."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether the labels meet this condition."""
        value = labels.get(self.key)
        match self.operator:
            case Operator.IN:
                return value is not None and value in self.values
            case Operator.NOT_IN:
                return value is None or value not in self.values
            case Operator.EXISTS:
                return value is not None
            case Operator.NOT_EXISTS:
                return value is None


@dataclass(frozen=True, slots=True)
class Selector:
    """Requirements that must all hold."""

    requirements: tuple[Requirement, ...]

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether the labels meet all requirements."""
        # This runs for every pair of VM and spec; `all` takes twice as long.
        for requirement in self.requirements:  # noqa: SIM110
            if not requirement.matches(labels):
                return False
        return True


@lru_cache(maxsize=4096)
def parse_selector(text: str) -> Selector:
    """Parse a selector.

    Raises SelectorError with the offending part when the text is empty or malformed.
    """
    if not text.strip():
        raise SelectorError(
            text, "an empty selector selects nothing; name at least one requirement"
        )
    parts = [part.strip() for part in _SEPARATOR.split(text)]
    return Selector(tuple(_parse_requirement(text, part) for part in parts))


def _parse_requirement(text: str, part: str) -> Requirement:
    match = _REQUIREMENT.match(part)
    if match is None:
        raise SelectorError(text, f"cannot parse the requirement {part!r}")
    if match["set_key"]:
        return _parse_set_requirement(text, match)
    if match["key"]:
        operator = Operator.NOT_IN if match["op"] == "!=" else Operator.IN
        return Requirement(match["key"], operator, frozenset({match["value"]}))
    name = match["exists"]
    if name.startswith("!"):
        return Requirement(name[1:].strip(), Operator.NOT_EXISTS)
    return Requirement(name, Operator.EXISTS)


def _parse_set_requirement(text: str, match: re.Match[str]) -> Requirement:
    values = frozenset(value.strip() for value in match["values"].split(","))
    if "" in values:
        raise SelectorError(text, f"empty value in the requirement {match[0]!r}")
    return Requirement(match["set_key"], Operator(match["set_op"]), values)


def _validate_selector(text: str) -> str:
    parse_selector(text)
    return text


SelectorText = Annotated[str, AfterValidator(_validate_selector)]
