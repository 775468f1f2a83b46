"""The open links of a process and the subscribers to their messages."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from .codec import encode_message
from .exceptions import OversizedFrameError
from .identity import LinkIdentity, Role
from .link import Link, LinkHandlers, log_oversized_message
from .messages import Message
from .metrics import LINKS

MessageT = TypeVar("MessageT", bound=Message)
LinkCallback = Callable[[Link], None]


class LinkHub:
    """Tracks open links, sends on them and passes their messages to subscribers."""

    def __init__(self, identity: LinkIdentity) -> None:
        """Create a hub without links."""
        self.identity = identity
        self.handlers = LinkHandlers(self._on_open, self._on_message, self._on_close)
        self._links: list[Link] = []
        self._subscribers: dict[type[Message], list[Callable[[Link, Any], None]]] = {}
        self._open_callbacks: list[LinkCallback] = []
        self._close_callbacks: list[LinkCallback] = []

    def subscribe(
        self, message_type: type[MessageT], handler: Callable[[Link, MessageT], None]
    ) -> None:
        """Call `handler` with each received message of a type."""
        self._subscribers.setdefault(message_type, []).append(handler)

    def on_open(self, callback: LinkCallback) -> None:
        """Call `callback` with each link that opens."""
        self._open_callbacks.append(callback)

    def on_close(self, callback: LinkCallback) -> None:
        """Call `callback` with each link that closes."""
        self._close_callbacks.append(callback)

    def links(self, *roles: Role) -> tuple[Link, ...]:
        """Return the open links to programs of these roles, or all links."""
        return tuple(link for link in self._links if not roles or link.role in roles)

    def peer_link(self, node: str) -> Link | None:
        """Return the open link to the control program of a node."""
        for link in self._links:
            if link.role is Role.CONTROL and link.node == node:
                return link
        return None

    def async_send(self, message: Message, *roles: Role) -> None:
        """Send a message to all programs of these roles, or on all links."""
        self.async_send_on(self.links(*roles), message)

    def async_send_on(self, links: Iterable[Link], message: Message) -> None:
        """Send a message on several links; it is encoded only once."""
        links = tuple(links)
        if not links:
            return
        try:
            frame = encode_message(message)
        except OversizedFrameError as exc:
            log_oversized_message(exc)
            return
        for link in links:
            link.async_send_frame(frame)

    def _on_open(self, link: Link) -> None:
        between_peers = self.identity.role is link.role is Role.CONTROL
        older = self.peer_link(link.node) if between_peers else None
        if between_peers and not self._is_preferred(link, older):
            link.async_close()
            return
        self._links.append(link)
        self._update_gauge()
        if older is not None:
            older.async_close()
            self._remove(older)
        for callback in self._open_callbacks:
            callback(link)

    def _is_preferred(self, link: Link, older: Link | None) -> bool:
        """Return whether `link` is kept instead of `older`.

        Each pair of control programs keeps one link. If both ends connect at the same
        time, both keep the link opened by the node with the lower name. Of two links
        opened by the same end, the newer one is kept, because the older one may be
        broken without a reset.
        """
        if link.node == self.identity.node:
            return False
        if older is None or older.incarnation != link.incarnation:
            return True
        if older.is_outgoing == link.is_outgoing:
            return True
        return link.is_outgoing == (self.identity.node < link.node)

    def _on_message(self, link: Link, message: Message) -> None:
        if link not in self._links:
            return
        for handler in self._subscribers.get(type(message), ()):
            handler(link, message)

    def _on_close(self, link: Link) -> None:
        if link in self._links:
            self._remove(link)

    def _remove(self, link: Link) -> None:
        self._links.remove(link)
        self._update_gauge()
        for callback in self._close_callbacks:
            callback(link)

    def _update_gauge(self) -> None:
        for role in Role:
            LINKS.set({"role": role.value}, len(self.links(role)))
