"""The administration program's link to a control process."""

from collections.abc import Callable
from typing import Any, Protocol

from ..config.events import ConfigChangesReceived, ConfigSnapshotReceived
from ..config.operations import Change
from ..core.context import ProgramContext
from ..links.messages import ConfigChanges, ConfigSnapshot, Message

MessageHook = Callable[[Any, Message], None]
"""Handles a message that is not about the configuration."""


class Sender(Protocol):
    """The part of a link that sends."""

    def async_send(self, message: Message) -> bool:
        """Queue a message; return False when it cannot be sent."""


class ControlLink:
    """The open link, if any, and what arrives on it."""

    def __init__(self, ctx: ProgramContext, hook: MessageHook | None = None) -> None:
        """Start without a link; `hook` gets group views and evidence."""
        self._ctx = ctx
        self._hook = hook
        self._link: Sender | None = None

    @property
    def is_open(self) -> bool:
        """Return whether a link is open."""
        return self._link is not None

    def async_send_change(self, change: Change) -> None:
        """Hand over an accepted change; control processes poll if this fails."""
        if self._link is not None:
            self._link.async_send(ConfigChanges(changes=(change,)))

    def on_open(self, link: Sender) -> None:
        """Use this link."""
        self._link = link

    def on_close(self, link: Sender) -> None:
        """Stop using this link."""
        if self._link is link:
            self._link = None

    def on_message(self, link: Sender, message: Message) -> None:
        """Apply configuration and pass on everything else."""
        match message:
            case ConfigChanges(changes=changes):
                self._ctx.runtime.async_dispatch(ConfigChangesReceived(changes))
            case ConfigSnapshot(revision=revision, objects=objects):
                event = ConfigSnapshotReceived(revision, objects)
                self._ctx.runtime.async_dispatch(event)
            case _ if self._hook is not None:
                self._hook(link, message)
