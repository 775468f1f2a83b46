"""Makes a process find a kernel that refuses to attach filters to sockets."""

import errno
import socket
from typing import Any

_SO_ATTACH_FILTER = 26

_setsockopt: Any = socket.socket.setsockopt


def _refuse_filters(sock: socket.socket, level: int, option: int, *args: Any) -> Any:
    if option == _SO_ATTACH_FILTER:
        raise PermissionError(errno.EPERM, "Operation not permitted")
    return _setsockopt(sock, level, option, *args)


socket.socket.setsockopt = _refuse_filters  # type: ignore[method-assign, assignment]
