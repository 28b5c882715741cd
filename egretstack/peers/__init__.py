"""Links between the system's own processes: typed messages, encoded as msgpack, over TCP."""

from egretstack.messages import (
    Message,
    MessageError,
    Nothing,
    decode,
    encode,
)
from egretstack.peers._link import (
    PeerGone,
    PeerKeys,
    PeerLink,
    PeerRefused,
    accept_peer,
    connect_peer,
)

__all__ = [
    "Message",
    "MessageError",
    "Nothing",
    "PeerGone",
    "PeerKeys",
    "PeerLink",
    "PeerRefused",
    "connect_peer",
    "decode",
    "encode",
    "accept_peer",
]
