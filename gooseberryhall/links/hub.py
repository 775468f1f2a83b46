"""The open links of a process and the subscribers to their messages."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from .codec import encode_message
from .exceptions import OversizedFrameError
from .identity import LinkIdentity, Role
from .link import Link, LinkHandlers, report_not_sent
from .messages import Message
from .metrics import LINKS

MessageT = TypeVar("MessageT", bound=Message)
LinkCallback = Callable[[Link], None]


class LinkHub:
    """Hold open links, send to them and hand their messages to subscribers."""

    def __init__(self, identity: LinkIdentity) -> None:
        """Create a hub without links."""
        self.identity = identity
        self.handlers = LinkHandlers(self._on_open, self._on_message, self._on_close)
        self._links: list[Link] = []
        self._subscribers: dict[type[Message], list[Callable[[Link, Any], None]]] = {}
        self._opened: list[LinkCallback] = []
        self._closed: list[LinkCallback] = []

    def subscribe(
        self, message_type: type[MessageT], handler: Callable[[Link, MessageT], None]
    ) -> None:
        """Call `handler` with each received message of a type."""
        self._subscribers.setdefault(message_type, []).append(handler)

    def on_open(self, callback: LinkCallback) -> None:
        """Call `callback` with each link that opens."""
        self._opened.append(callback)

    def on_close(self, callback: LinkCallback) -> None:
        """Call `callback` with each link that closes."""
        self._closed.append(callback)

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
        """Send a message on several links, encoded once."""
        links = tuple(links)
        if not links:
            return
        try:
            frame = encode_message(message)
        except OversizedFrameError as exc:
            report_not_sent(exc)
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
        self._count()
        if older is not None:
            older.async_close()
            self._drop(older)
        for callback in self._opened:
            callback(link)

    def _is_preferred(self, link: Link, older: Link | None) -> bool:
        """Keep one link for each pair of control programs.

        Both ends may dial at the same time. Both then keep the link that the node with
        the lower name dialled. Of two links dialled by the same end, the newer one is
        kept, because the older one may be dead without a reset.
        """
        if link.node == self.identity.node:
            return False
        if older is None or older.incarnation != link.incarnation:
            return True
        if older.dialled == link.dialled:
            return True
        return link.dialled == (self.identity.node < link.node)

    def _on_message(self, link: Link, message: Message) -> None:
        if link not in self._links:
            return
        for handler in self._subscribers.get(type(message), ()):
            handler(link, message)

    def _on_close(self, link: Link) -> None:
        if link in self._links:
            self._drop(link)

    def _drop(self, link: Link) -> None:
        self._links.remove(link)
        self._count()
        for callback in self._closed:
            callback(link)

    def _count(self) -> None:
        for role in Role:
            LINKS.set({"role": role.value}, len(self.links(role)))
