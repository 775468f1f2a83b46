"""Event handlers of the membership concern."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..core.events import Event

if TYPE_CHECKING:
    from ..core.reducer import Handler

HANDLERS: "Mapping[type[Event], Handler]" = {}
