"""Makes a process find a kernel that refuses calls which it can do without."""

import errno
import os
import socket
from typing import Any

_SO_ATTACH_FILTER = 26

_setsockopt: Any = socket.socket.setsockopt


def _refuse(*_: Any) -> None:
    raise PermissionError(errno.EPERM, "Operation not permitted")


def _refuse_filters(sock: socket.socket, level: int, option: int, *args: Any) -> Any:
    if option == _SO_ATTACH_FILTER:
        _refuse()
    return _setsockopt(sock, level, option, *args)


socket.socket.setsockopt = _refuse_filters  # type: ignore[method-assign, assignment]
# Standard output stays as it is; asyncio and uvloop use other calls for sockets.
os.set_blocking = _refuse
