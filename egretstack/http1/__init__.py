"""HTTP/1.1 on trio streams with h11: the bytes, each close and each reuse are ours to decide."""

from egretstack.http1._body_room import BodyRoom, NoRoomForBody
from egretstack.http1._client import (
    ConnectFailed,
    UpstreamBroken,
    UpstreamConnection,
    connect_upstream,
)
from egretstack.http1._exchange import AnswerTooLarge, exchange
from egretstack.http1._messages import (
    Header,
    Headers,
    RequestHead,
    ResponseHead,
    connection_headers,
    first_value,
)
from egretstack.http1._pool import ConnectionPool
from egretstack.http1._server import (
    BadRequest,
    ClientConnection,
    ClientGone,
    ServerLimits,
    SlowSender,
)
from egretstack.http1._sockets import open_connection, open_listener

__all__ = [
    "AnswerTooLarge",
    "BadRequest",
    "BodyRoom",
    "ClientConnection",
    "ClientGone",
    "ConnectFailed",
    "ConnectionPool",
    "Header",
    "Headers",
    "NoRoomForBody",
    "RequestHead",
    "ResponseHead",
    "ServerLimits",
    "SlowSender",
    "UpstreamBroken",
    "UpstreamConnection",
    "connect_upstream",
    "connection_headers",
    "exchange",
    "first_value",
    "open_connection",
    "open_listener",
]
