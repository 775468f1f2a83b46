"""Effects of the config package."""

from dataclasses import dataclass

from ..core.effects import Effect
from .operations import Change
from .state import ObjectKey


@dataclass(frozen=True, slots=True)
class RequestConfig(Effect):
    """Request the configuration after a revision, because changes are missing."""

    after: int


@dataclass(frozen=True, slots=True)
class ConfigApplied(Effect):
    """A newer configuration is in force on this process.

    `keys` names the objects that may have changed. `changes` holds the applied changes
    and is empty when a snapshot was applied.
    """

    revision: int
    keys: frozenset[ObjectKey]
    changes: tuple[Change, ...] = ()
