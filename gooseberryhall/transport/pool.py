"""Pool of client connections by address."""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from .address import Address
from .client import ClientConnection
from .const import CONNECT_TIMEOUT_S, MAX_IDLE_PER_ADDRESS
from .exceptions import ConnectFailedError, SendWithheldError
from .exchange import Exchange


@dataclass(slots=True)
class ConnectionPool:
    """Opens connections and keeps idle connections for reuse."""

    id_header: bytes
    # Idle connections to all addresses together.
    max_idle: int | None = None
    # Called after a connection was opened.
    on_connected: Callable[[], None] = lambda: None
    _idle: defaultdict[Address, list[ClientConnection]] = field(
        default_factory=lambda: defaultdict(list)
    )

    async def async_send_request(
        self,
        address: Address,
        data: bytes,
        exchange: Exchange,
        *,
        new_connection: bool = False,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        may_send: Callable[[], bool] = lambda: True,
        on_sent: Callable[[], None] = lambda: None,
    ) -> ClientConnection:
        """Send an encoded request and return its connection.

        With `new_connection` no idle connection is reused. `may_send` is asked when the
        connection is open, `on_sent` is called when the request was written. Raises
        `ConnectFailedError` if nothing was sent.
        """
        conn = None if new_connection else self._pop_idle(address)
        if conn is None:
            conn = await self._async_connect(address, connect_timeout_s)
            self.on_connected()
        if not may_send():
            self.release(address, conn)
            raise SendWithheldError(f"{address} must get no request now")
        if conn.start(exchange, data):
            on_sent()
        return conn

    async def async_try_connect(self, address: Address) -> bool:
        """Return whether a connection can be opened; it is closed again."""
        try:
            conn = await self._async_connect(address, CONNECT_TIMEOUT_S)
        except ConnectFailedError:
            return False
        conn.close()
        self.on_connected()
        return True

    def release(self, address: Address, conn: ClientConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        idle = self._idle[address]
        now_s = asyncio.get_running_loop().time()
        if not conn.can_reuse(now_s) or len(idle) >= MAX_IDLE_PER_ADDRESS:
            conn.close()
            return
        if self.max_idle is not None and self.idle_count >= self.max_idle:
            conn.close()
            return
        idle.append(conn)

    @property
    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return sum(map(len, self._idle.values()))

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for conn in self._idle.pop(address, []):
            conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    def close_expired(self) -> None:
        """Close the connections that exceeded their idle timeout."""
        now_s = asyncio.get_running_loop().time()
        for address, idle in list(self._idle.items()):
            reusable = [conn for conn in idle if conn.can_reuse(now_s)]
            for conn in idle:
                if conn not in reusable:
                    conn.close()
            if reusable:
                self._idle[address] = reusable
            else:
                del self._idle[address]

    def _pop_idle(self, address: Address) -> ClientConnection | None:
        idle = self._idle.get(address)
        now_s = asyncio.get_running_loop().time()
        while idle:
            conn = idle.pop()
            if conn.can_reuse(now_s):
                return conn
            conn.close()
        return None

    async def _async_connect(
        self, address: Address, timeout_s: float
    ) -> ClientConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, conn = await loop.create_connection(
                    lambda: ClientConnection(id_header=self.id_header),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as exc:
            # The last two are raised for hosts and ports that no socket accepts.
            raise ConnectFailedError(f"cannot connect to {address}: {exc!r}") from exc
        return conn
