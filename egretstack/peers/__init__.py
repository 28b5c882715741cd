"""Links between the system's own processes: typed messages in msgpack over TCP."""

from egretstack.peers._link import (
    PeerGone,
    PeerKeys,
    PeerLink,
    PeerRefused,
    connect_peer,
    greet_peer,
)
from egretstack.peers._messages import (
    Message,
    MessageError,
    Nothing,
    decode,
    encode,
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
    "greet_peer",
]
