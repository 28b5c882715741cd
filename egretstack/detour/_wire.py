"""What two instances say to each other on a tunnel.

The instance that needs the tunnel sends one request, and the helper answers with one byte; then
bytes are passed on. Towards the runner they stay as they are; towards the instance they come in
frames, each behind its length, so that the runner's end is told apart from the helper's.
"""

from enum import Enum

import msgpack

MAX_REQUEST_BYTES = 512
MAX_CONNECT_S = 10.0
"""Longest time to connect that may be asked for."""
MAX_FRAME_BYTES = 65_536
_LENGTH_BYTES = 4
END_FRAME = bytes(_LENGTH_BYTES)
"""An empty frame: the runner has closed its connection."""


class TunnelOutcome(Enum):
    """How the helper's attempt to connect to a runner ended; the value is its byte on the wire."""

    CONNECTED = 1
    UNREACHABLE = 2
    """The runner accepted no connection of the helper."""
    CUT = 3
    """The helper reaches no runner at all."""
    FULL = 4
    """The helper carries as many tunnels as it may."""
    LEAVING = 5
    UNKNOWN_RUNNER = 6
    """The helper knows no runner at that address."""


class BadTunnelRequest(Exception):
    """A request for a tunnel that cannot be read."""


def encode_request(address: str, timeout_s: float) -> bytes:
    """Return the request for a tunnel to a runner's address."""
    body = msgpack.packb([address, timeout_s])
    return len(body).to_bytes(_LENGTH_BYTES, "big") + body


def request_length(data: bytes) -> int | None:
    """Return the length of a whole request that begins with `data`; None if not known yet.

    Raises BadTunnelRequest.
    """
    if len(data) < _LENGTH_BYTES:
        return None
    length = int.from_bytes(data[:_LENGTH_BYTES], "big")
    if length > MAX_REQUEST_BYTES:
        raise BadTunnelRequest(f"a request of {length} bytes")
    return _LENGTH_BYTES + length


def decode_request(data: bytes) -> tuple[str, float]:
    """Return the runner's address and the time to connect, in seconds. Raises BadTunnelRequest."""
    try:
        address, timeout_s = msgpack.unpackb(data[_LENGTH_BYTES:])
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise BadTunnelRequest(repr(error)) from error
    if not isinstance(address, str) or not isinstance(timeout_s, int | float):
        raise BadTunnelRequest("fields of other types")
    if not 0.0 <= timeout_s <= MAX_CONNECT_S:
        raise BadTunnelRequest("a time to connect out of bounds")
    return address, float(timeout_s)


def encode_frame(data: bytes) -> bytes:
    """Return bytes of the runner as a frame."""
    return len(data).to_bytes(_LENGTH_BYTES, "big") + data


class FrameReader:
    """Takes frames out of received bytes."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._left = 0
        """Bytes of the current frame that were not returned yet."""

    @property
    def is_empty(self) -> bool:
        """Whether nothing was received that has not been returned."""
        return not self._buffer and not self._left

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def next(self) -> bytes | None:
        """Return the next bytes of the runner: empty at its end, None if more must be received.

        Raises ValueError if the bytes are no frames.
        """
        if not self._left:
            if len(self._buffer) < _LENGTH_BYTES:
                return None
            self._left = int.from_bytes(self._buffer[:_LENGTH_BYTES], "big")
            if self._left > MAX_FRAME_BYTES:
                raise ValueError(f"a frame of {self._left} bytes")
            del self._buffer[:_LENGTH_BYTES]
            if not self._left:
                return b""
        data = bytes(self._buffer[: self._left])
        if not data:
            return None
        del self._buffer[: len(data)]
        self._left -= len(data)
        return data
