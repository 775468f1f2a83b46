"""Runs the reducer and passes its effects to the handlers of a program."""

from collections import deque
from collections.abc import Callable
from typing import Any, TypeVar

from .clock import now_s
from .effects import Effect
from .events import Event
from .exceptions import UnhandledEffectError
from .reducer import reduce
from .state import State

EffectT = TypeVar("EffectT", bound=Effect)


class Runtime:
    """Hold the state, apply events in order and perform the resulting effects."""

    def __init__(self, state: State, clock: Callable[[], float] = now_s) -> None:
        """Create a runtime without effect handlers."""
        self.state = state
        self._clock = clock
        self._handlers: dict[type[Effect], Callable[[Any], None]] = {}
        self._observers: list[Callable[[Event], None]] = []
        self._pending: deque[Event] = deque()
        self._dispatching = False

    def register(
        self, effect_type: type[EffectT], handler: Callable[[EffectT], None]
    ) -> None:
        """Perform effects of this type with `handler`."""
        self._handlers[effect_type] = handler

    def observe(self, observer: Callable[[Event], None]) -> None:
        """Call `observer` with each event before the reducer handles it."""
        self._observers.append(observer)

    def async_dispatch(self, event: Event) -> None:
        """Apply an event, then in order the events that effect handlers dispatch."""
        self._pending.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._pending:
                self._apply(self._pending.popleft())
        finally:
            self._dispatching = False

    def _apply(self, event: Event) -> None:
        for observer in self._observers:
            observer(event)
        for effect in reduce(self.state, event, self._clock()):
            self._perform(effect)

    def _perform(self, effect: Effect) -> None:
        handler = self._handlers.get(type(effect))
        if handler is None:
            raise UnhandledEffectError(type(effect).__name__)
        handler(effect)
