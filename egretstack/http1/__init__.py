"""HTTP/1.1 on trio streams with h11, with explicit control over bytes, closes and reuse."""

from egretstack.http1._addresses import is_address
from egretstack.http1._answer_memory import AnswerMemory, AnswerMemoryFull, AnswerReservation
from egretstack.http1._body_memory import BodyMemory, BodyMemoryFull
from egretstack.http1._client import (
    ConnectFailed,
    Dialer,
    DirectDialer,
    NotReached,
    UpstreamBroken,
    UpstreamConnection,
    connect_link,
    connect_upstream,
)
from egretstack.http1._exchange import AnswerTooLarge, exchange, read_whole_body
from egretstack.http1._messages import (
    Header,
    Headers,
    RequestHead,
    ResponseHead,
    connection_options,
    first_value,
    hop_by_hop_headers,
    is_header_text,
)
from egretstack.http1._pool import ConnectionPool
from egretstack.http1._server import (
    BadRequest,
    ClientConnection,
    ClientDisconnected,
    ServerLimits,
    SlowSender,
)
from egretstack.http1._sockets import (
    USER_TIMEOUT_MS,
    Link,
    SocketLink,
    is_open_and_quiet,
    open_connection,
    open_listener,
    reset_on_close,
)

__all__ = [
    "AnswerMemory",
    "AnswerMemoryFull",
    "AnswerReservation",
    "read_whole_body",
    "USER_TIMEOUT_MS",
    "AnswerTooLarge",
    "BadRequest",
    "BodyMemory",
    "ClientConnection",
    "ClientDisconnected",
    "ConnectFailed",
    "ConnectionPool",
    "Dialer",
    "DirectDialer",
    "Header",
    "Headers",
    "BodyMemoryFull",
    "Link",
    "NotReached",
    "RequestHead",
    "ResponseHead",
    "ServerLimits",
    "SlowSender",
    "SocketLink",
    "UpstreamBroken",
    "UpstreamConnection",
    "connect_link",
    "connection_options",
    "connect_upstream",
    "hop_by_hop_headers",
    "is_address",
    "is_header_text",
    "exchange",
    "first_value",
    "is_open_and_quiet",
    "open_connection",
    "open_listener",
    "reset_on_close",
]
