"""Exceptions of the links."""

from ..exceptions import GooseberryhallError


class LinkError(GooseberryhallError):
    """A link cannot be opened or must be closed."""

    code = "link_error"


class LinkUnavailableError(LinkError):
    """The other end did not respond or closed the connection."""

    code = "link_unavailable"


class AuthenticationError(LinkError):
    """The other end did not prove that it knows the link secret."""

    code = "link_authentication"


class SelfLinkError(LinkError):
    """A process was connected to itself."""

    code = "link_to_self"


class MalformedFrameError(LinkError):
    """A frame is not a valid message."""

    code = "malformed_frame"


class OversizedFrameError(LinkError):
    """A frame is larger than the limit."""

    code = "oversized_frame"


class LinkTimeoutError(LinkError):
    """No message arrived within the receive timeout."""

    code = "silent_link"


class SendQueueFullError(LinkError):
    """The other end does not read messages as fast as they are sent."""

    code = "send_queue_full"
