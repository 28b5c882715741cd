"""TCP sockets with the options that a process among unreliable links needs."""

import socket

import trio

BACKLOG = 1024
"""New connections that wait to be accepted; the kernel drops the opening packet of more."""

UNACKNOWLEDGED_MS = 4_000
"""How long sent bytes may stay unacknowledged before the connection counts as broken.

Behind a partition nothing is refused: without this limit a write waits for many minutes.
"""


async def open_listener(host: str, port: int) -> trio.SocketListener:
    """Listen on a numeric address."""
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
    """Connect to a numeric address; give the stream, and its socket for peeking.

    Raises OSError.
    """
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    raw.setblocking(False)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    connecting = trio.socket.from_stdlib_socket(raw)
    try:
        await connecting.connect((host, port))
    except BaseException:
        connecting.close()
        raise
    return trio.SocketStream(connecting), raw


def is_untouched(raw: socket.socket) -> bool:
    """Tell whether an idle connection has neither bytes to read nor an end."""
    try:
        raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False


def reset_on_close(stream: trio.SocketStream) -> None:
    """Let the next close reset the connection, so that what was sent cannot look complete."""
    linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except (OSError, trio.ClosedResourceError):
        return  # The connection is already broken: there is nothing left that could look complete.
