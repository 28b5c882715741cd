"""Clients that keep their connections, and a record of what was sent, answered and run."""

import time
from dataclasses import dataclass, field
from pathlib import Path

import trio

from egretstack.http1 import (
    ConnectFailed,
    RequestHead,
    UpstreamBroken,
    UpstreamConnection,
    connect_upstream,
    exchange,
    first_value,
)

MAX_BYTES = 1_000_000


class Record:
    """Writes lines with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} s  {text}\n")
        self._file.flush()


@dataclass
class Stream:
    """What a client has received of one stream."""

    attempt: str
    status: int = 0
    ids: list[int] = field(default_factory=list)
    is_complete: bool = False
    end: str = ""
    first_event: trio.Event = field(default_factory=trio.Event)
    ended: trio.Event = field(default_factory=trio.Event)
    ended_s: float = 0.0


def cut_in_stop(
    streams: list[Stream], passed_on: set[str], stopped_s: float, grace_s: float
) -> list[Stream]:
    """Return the streams that a planned stop of their instance may not have cut.

    Those that were passed on to a runner, and whose connection ended without a complete answer, not
    in the last sixth of the grace period. An answer that refuses a request is complete.
    """
    return [
        one
        for one in streams
        if one.end.startswith("broken")
        and one.attempt in passed_on
        and one.ended_s < stopped_s + grace_s * 5 / 6
    ]


async def wait_until_ready(address: str, timeout_s: float = 20.0) -> bool:
    """Wait until an instance says that it is ready; return whether it does."""
    head = RequestHead(b"GET", b"/egretstack/ready", ((b"host", b"ready"),))
    with trio.move_on_after(timeout_s):
        while True:
            try:
                connection = await connect_upstream(address, 1.0)
                answer, _ = await exchange(connection, head, b"", MAX_BYTES)
                connection.close()
                if answer.status == 200:
                    return True
            except (ConnectFailed, UpstreamBroken):
                pass
            await trio.sleep(0.1)
    return False


async def call(
    connection: UpstreamConnection, head: RequestHead, body: bytes
) -> tuple[int, bytes, bool]:
    """Send a request on a kept connection; return status, body and whether it is sealed.

    The status is 0 if the connection ended without a complete answer.
    """
    try:
        answer, data = await exchange(connection, head, body, MAX_BYTES)
    except UpstreamBroken:
        connection.close()
        return 0, b"", False
    if connection.is_reusable():
        connection.start_next(trio.current_time())
    sealed = first_value(answer.headers, b"runner-seal") is not None
    return answer.status, data, sealed


async def read_stream(
    connection: UpstreamConnection,
    head: RequestHead,
    body: bytes,
    stream: Stream,
    record: Record,
) -> None:
    """Send a request for a stream and read it to its end."""
    record(f"client sends {stream.attempt}")
    buffer = b""
    try:
        await connection.send(head, body)
        stream.status = (await connection.read_head()).status
        while (data := await connection.read_body()) is not None:
            buffer += data
            *whole, buffer = buffer.split(b"\n\n")
            stream.ids += [int(one.split(b"id: ")[1].split(b"\n")[0]) for one in whole]
            if stream.ids:
                stream.first_event.set()
        stream.is_complete = not buffer
        stream.end = "complete"
    except UpstreamBroken as error:
        stream.end = f"broken: {error}"
    finally:
        connection.close()
        stream.first_event.set()
        stream.ended_s = trio.current_time()
        stream.ended.set()
    record(f"client has {stream.attempt}: {stream.status}, {len(stream.ids)} events, {stream.end}")
