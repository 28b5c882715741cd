"""A link to one peer: msgpack messages over a stream, opened by a hello in each direction.

The hello proves that the peer has a session key of this system: it contains the sender's name as
a Fernet token (the seal), and a token that is too old is rejected.
"""

from collections.abc import Awaitable, Callable

import msgpack
import trio
from cryptography.fernet import Fernet, InvalidToken, MultiFernet

from egretstack.clock import EpochClock
from egretstack.ids import InstanceId
from egretstack.messages import Hello, Message, MessageError, decode, encode

PROTOCOL_VERSION = 1
SEAL_TTL_S = 60
MAX_MESSAGE_BYTES = 4_194_304
READ_BYTES = 65_536
HELLO_TIMEOUT_S = 5.0


class PeerGone(Exception):
    """The link broke or was closed by the peer."""


class PeerRefused(Exception):
    """The peer has another protocol version, has no valid key, or sent an invalid message."""


class PeerKeys:
    """Makes the hello of this process and verifies the hello of a peer."""

    def __init__(self, keys: list[bytes], epoch: EpochClock) -> None:
        self._fernet = MultiFernet([Fernet(key) for key in keys])
        self._epoch = epoch

    def make_hello(self, instance: InstanceId) -> Hello:
        """Return the hello of this process."""
        seal = self._fernet.encrypt_at_time(instance.encode(), int(self._epoch.now()))
        return Hello(PROTOCOL_VERSION, instance, seal)

    def verify_hello(self, hello: Message) -> InstanceId:
        """Verify a peer's hello and return its name; raise PeerRefused."""
        if not isinstance(hello, Hello) or hello.version != PROTOCOL_VERSION:
            raise PeerRefused("not a hello of this protocol version")
        try:
            name = self._fernet.decrypt_at_time(hello.seal, SEAL_TTL_S, int(self._epoch.now()))
        except InvalidToken as error:
            raise PeerRefused("the seal has an unknown key or is too old") from error
        if name.decode() != hello.instance:
            raise PeerRefused("the seal is for another instance")
        return InstanceId(hello.instance)


class PeerLink:
    """Sends and receives messages over one stream."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._unpacker = msgpack.Unpacker(read_size=READ_BYTES, max_buffer_size=MAX_MESSAGE_BYTES)
        self._sending = trio.Lock()
        self.peer = InstanceId("")
        self.sent_bytes = 0
        self.received_bytes = 0

    async def send(self, message: Message) -> None:
        """Send one message. Raises PeerGone."""
        body = encode(message)
        self.sent_bytes += len(body)
        try:
            async with self._sending:
                await self._stream.send_all(body)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerGone(repr(error)) from error

    async def receive(self) -> Message:
        """Receive one message. Raises PeerGone, PeerRefused."""
        while True:
            try:
                return decode(next(self._unpacker))
            except StopIteration:
                await self._read()
            except (ValueError, MessageError) as error:
                raise PeerRefused(repr(error)) from error

    async def request(self, message: Message) -> Message:
        """Send a message and receive its answer. Raises PeerGone, PeerRefused."""
        await self.send(message)
        return await self.receive()

    async def aclose(self) -> None:
        """Close the link."""
        await self._stream.aclose()

    async def _read(self) -> None:
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerGone(repr(error)) from error
        if not data:
            raise PeerGone("closed by the peer")
        self.received_bytes += len(data)
        try:
            self._unpacker.feed(data)
        except msgpack.BufferFull as error:
            raise PeerRefused("message too large") from error


async def connect_peer(
    open_stream: Callable[[], Awaitable[trio.abc.Stream]], keys: PeerKeys, instance: InstanceId
) -> PeerLink:
    """Open a link over the stream from `open_stream`. Raises PeerGone, PeerRefused."""
    try:
        with trio.fail_after(HELLO_TIMEOUT_S):
            link = PeerLink(await open_stream())
            link.peer = keys.verify_hello(await link.request(keys.make_hello(instance)))
            return link
    except (OSError, trio.TooSlowError) as error:
        raise PeerGone(repr(error)) from error


async def accept_peer(stream: trio.abc.Stream, keys: PeerKeys, instance: InstanceId) -> PeerLink:
    """Accept a link that a peer opens. Raises PeerGone, PeerRefused."""
    link = PeerLink(stream)
    try:
        with trio.fail_after(HELLO_TIMEOUT_S):
            link.peer = keys.verify_hello(await link.receive())
            await link.send(keys.make_hello(instance))
            return link
    except trio.TooSlowError as error:
        raise PeerGone("no hello before the timeout") from error
