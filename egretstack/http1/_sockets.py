"""TCP sockets with options for unreliable networks."""

import socket
from abc import ABC, abstractmethod

import trio

BACKLOG = 1024
"""Maximum number of connections waiting for accept; the kernel drops the SYN of further ones."""

USER_TIMEOUT_MS = 4_000
"""How long sent bytes may stay unacknowledged before the connection is considered broken.

Behind a network partition no packet is rejected; without this limit a write would wait for many
minutes.
"""


async def open_listener(host: str, port: int) -> trio.SocketListener:
    """Listen on a numeric IPv4 address."""
    listening = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        await listening.bind((host, port))
        listening.listen(BACKLOG)
    except BaseException:
        listening.close()
        raise
    return trio.SocketListener(listening)


async def open_connection(host: str, port: int) -> tuple[trio.SocketStream, socket.socket]:
    """Connect to a numeric IPv4 address; return the stream, and its socket for peeking.

    Raises OSError.
    """
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    raw.setblocking(False)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    connecting = trio.socket.from_stdlib_socket(raw)
    try:
        await connecting.connect((host, port))
    except BaseException:
        connecting.close()
        raise
    return trio.SocketStream(connecting), raw


class Link(ABC):
    """The bytes of one connection to an upstream, whatever path they take."""

    @abstractmethod
    async def send_all(self, data: bytes) -> None:
        """Send data. Raises trio.BrokenResourceError, trio.ClosedResourceError."""

    @abstractmethod
    async def receive_some(self, max_bytes: int) -> bytes:
        """Receive data; empty once the upstream has closed the connection.

        Raises trio.BrokenResourceError, trio.ClosedResourceError.
        """

    @abstractmethod
    def is_open_and_quiet(self) -> bool:
        """Return whether the connection, while idle, is open and has no bytes to read."""

    @abstractmethod
    def close(self) -> None:
        """Close immediately."""


class SocketLink(Link):
    """A TCP connection to the upstream itself."""

    def __init__(self, stream: trio.SocketStream, raw: socket.socket) -> None:
        self._stream = stream
        self._raw = raw
        self._was_reset = False
        """Whether sending failed because the connection was reset."""

    async def send_all(self, data: bytes) -> None:
        """Send data."""
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError as error:
            # After an upstream's own close the error is a broken pipe.
            self._was_reset = not isinstance(error.__cause__, BrokenPipeError)
            raise

    async def receive_some(self, max_bytes: int) -> bytes:
        """Receive data."""
        data = await self._stream.receive_some(max_bytes)
        if not data and self._was_reset:
            # A socket reports a reset only once, and then the end of the connection.
            raise trio.BrokenResourceError("reset while sending")
        return data

    def is_open_and_quiet(self) -> bool:
        """Return whether the connection is open and has no bytes to read."""
        return is_open_and_quiet(self._raw)

    def close(self) -> None:
        """Close the socket."""
        self._stream.socket.close()


def is_open_and_quiet(raw: socket.socket) -> bool:
    """Return whether an idle connection is open and has no bytes to read."""
    try:
        raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False


def reset_on_close(stream: trio.SocketStream) -> None:
    """Make the next close reset the connection, so that a partial response cannot look complete."""
    linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except (OSError, trio.ClosedResourceError):
        return  # The connection is already broken, so no response on it can look complete.
