"""The port on which clients connect and send their requests."""

from collections.abc import Awaitable
from functools import partial

import trio

from egretstack.errors import ErrorKind, problem_document
from egretstack.events import Event, log
from egretstack.http1 import (
    AnswerReservation,
    BadRequest,
    BodyMemory,
    BodyMemoryFull,
    ClientConnection,
    ClientDisconnected,
    RequestHead,
    ResponseHead,
    ServerLimits,
    SlowSender,
    open_listener,
)
from egretstack.kernel import Kernel, Service, WorkKind
from egretstack.platform import NodeSettings, decode_request, json_answer
from egretstack.relay import (
    BufferedResponse,
    ClientStream,
    PlainRelay,
    RelayTask,
    RequestFailed,
    StreamRelay,
)
from egretstack.services._serving import serve_connections
from egretstack.services.relay_metrics import RelayMetrics
from egretstack.services.relaying import Relaying
from egretstack.services.store_reading import StoreReading
from egretstack.traffic import ClientRequest

LIMITS_AT_START = ServerLimits(16_384, 4_194_304, 3.0, 15.0)
"""Applies until a configuration is known."""
MAX_BODY_BYTES_IN_PROGRESS = 24_000_000
"""Limit on the bodies of all requests in progress, in bytes. Each body is held twice while it is
joined and sent; with the 25 MB that a process needs by itself that is 73 MB of the 128 MB of the
smallest instances."""
FULL_RETRY_S = 0.2
"""A body takes some 50 ms on a link of 100 Mbit/s, and other instances have free memory."""
DRAIN_CHECK_INTERVAL_S = 0.05
LAST_ANSWERS_S = 0.2
"""Time in which the requests that have no answer near the end are told so."""
_CLOSE = (b"connection", b"close")
_KIND_BY_STATUS = {
    413: ErrorKind.BODY_TOO_LARGE,
    431: ErrorKind.HEADERS_TOO_LARGE,
    501: ErrorKind.NOT_SUPPORTED,
}


class FrontPort(Service):
    """Serves clients."""

    name = "front_port"
    requires = ("relaying", "store_reading", "fleet_port", "relay_metrics")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._relaying = kernel.get(Relaying)
        self._store = kernel.get(StoreReading)
        self._metrics = kernel.get(RelayMetrics)
        self._in_progress = 0
        self._relays: dict[ClientConnection, trio.CancelScope] = {}
        """Scope of each request that is relayed, until its answer has been sent."""
        self.body_memory = BodyMemory(MAX_BODY_BYTES_IN_PROGRESS)
        gauge = self._metrics.gauge("egret_relay_in_progress", "Requests in progress.")
        gauge.set_function(lambda: self._in_progress)
        self._leaving = False

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve until cancelled."""
        node: NodeSettings = self.kernel.settings
        host, _, port = node.front_address.rpartition(":")
        listener = await open_listener(host, int(port))
        async with trio.open_nursery() as nursery:
            serve = partial(serve_connections, port="front")
            await nursery.start(serve, self.kernel, listener, self._serve)
            task_status.started()

    async def drain(self) -> None:
        """Serve clients that use older directory answers, until the grace period is nearly over.

        Then end what has no answer; streams go on until there is none, or the process has to end.
        """
        self._leaving = True
        self._relaying.begin_leaving()
        departure = self._relaying.context.departure
        while trio.current_time() < departure.answers_until_s:
            await trio.sleep(DRAIN_CHECK_INTERVAL_S)
        await self._end_unanswered()
        while self._relays and trio.current_time() < departure.stops_s:
            left_s = departure.stops_s - trio.current_time()
            await trio.sleep(min(DRAIN_CHECK_INTERVAL_S, left_s))
        if self._relays:
            log(Event.STOP_CUTS_STREAMS, streams=len(self._relays))

    async def _end_unanswered(self) -> None:
        """End the requests without an answer, so that their clients are told they may have run."""
        unanswered = [one for one in self._relays if one.can_start_response()]
        for connection in unanswered:
            self._relays[connection].cancel()
        with trio.move_on_after(LAST_ANSWERS_S):
            while any(one in self._relays for one in unanswered):
                await trio.sleep(DRAIN_CHECK_INTERVAL_S)

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = ClientConnection(stream, self._limits(), self.body_memory)
        try:
            while await self._serve_one(connection):
                connection.limits = self._limits()
        finally:
            connection.close()

    async def _serve_one(self, connection: ClientConnection) -> bool:
        """Serve one request; return whether the connection may be kept.

        After an unforeseen error the client is told that its request may have run.
        """
        with self.kernel.unforeseen.confined(WorkKind.CONNECTION, port="front"):
            return await self._read_and_answer(connection)
        # The context has stopped an error.
        self._metrics.count_request(None, ErrorKind.INTERNAL.value)
        await self._refuse(connection, "", RequestFailed(ErrorKind.INTERNAL, "see the log"))
        return False

    async def _read_and_answer(self, connection: ClientConnection) -> bool:
        """Read and answer one request; return whether the connection may be kept."""
        try:
            head = await connection.read_head()
            if head is None:
                return False
            began_s = trio.current_time()
            self._in_progress += 1
            try:
                body = await connection.read_body()
                await self._answer(connection, head, body, began_s)
            finally:
                self._in_progress -= 1
                connection.release_body()
        except BadRequest as error:
            kind = _KIND_BY_STATUS.get(error.status, ErrorKind.BAD_REQUEST)
            await self._refuse(connection, "", RequestFailed(kind, str(error)))
            return False
        except SlowSender as error:
            await self._refuse(connection, "", RequestFailed(ErrorKind.SLOW_SENDER, str(error)))
            return False
        except BodyMemoryFull as error:
            failed = RequestFailed(ErrorKind.INSTANCE_FULL, str(error), retry_after_s=FULL_RETRY_S)
            await self._refuse(connection, "", failed)
            return False
        except ClientDisconnected:
            connection.abort()
            return False
        return connection.start_next()

    async def _answer(
        self, connection: ClientConnection, head: RequestHead, body: bytes, began_s: float
    ) -> None:
        request = decode_request(head, body)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_on_disconnect, connection, request, nursery.cancel_scope
            )
            await self._relay(connection, request, began_s)
            nursery.cancel_scope.cancel()

    @staticmethod
    async def _cancel_on_disconnect(
        connection: ClientConnection, request: ClientRequest, scope: trio.CancelScope
    ) -> None:
        await connection.wait_until_disconnected()
        log(Event.CLIENT_LEFT, request=request.attempt_id)
        scope.cancel()

    async def _relay(
        self, connection: ClientConnection, request: ClientRequest, began_s: float
    ) -> None:
        try:
            await self._relay_one(connection, request, began_s)
        finally:
            self._relays.pop(connection, None)

    async def _relay_one(
        self, connection: ClientConnection, request: ClientRequest, began_s: float
    ) -> None:
        with self._relaying.context.answer_memory.reserve() as memory:
            await self._relay_within(connection, request, began_s, memory)

    async def _relay_within(
        self,
        connection: ClientConnection,
        request: ClientRequest,
        began_s: float,
        memory: AnswerReservation,
    ) -> None:
        kind = None
        try:
            task = self._relaying.task(request, began_s)
            kind = task.route.kind
            if task.is_engine_stream:
                answer = await self._relay_stream(connection, task, memory)
            else:
                answer = await self._relay_whole(connection, task, memory)
        except RequestFailed as error:
            self._metrics.count_request(kind, error.kind.value)
            await self._refuse(connection, request.attempt_id, error)
            return
        self._metrics.count_request(
            kind, "stream" if answer is None else f"{answer.head.status // 100}xx"
        )
        if answer is not None:
            self._metrics.observe_answer(kind, trio.current_time() - began_s)
            await self._send(connection, answer)
            log(
                Event.REQUEST_ANSWERED,
                request=request.attempt_id,
                route=task.route.name,
                status=answer.head.status,
                took_ms=round((trio.current_time() - began_s) * 1000),
            )

    async def _relay_whole(
        self, connection: ClientConnection, task: RelayTask, memory: AnswerReservation
    ) -> BufferedResponse:
        with trio.move_on_at(task.deadline_s) as scope:
            self._relays[connection] = scope
            return await PlainRelay(self._relaying.context, memory).serve(task)
        raise _out_of_time(task)

    async def _relay_stream(
        self, connection: ClientConnection, task: RelayTask, memory: AnswerReservation
    ) -> BufferedResponse | None:
        client = _FrontStream(connection, self._closing())
        with trio.move_on_at(task.deadline_s) as scope:
            self._relays[connection] = scope
            return await StreamRelay(self._relaying.context, task, client, memory).serve()
        if connection.can_start_response():
            raise _out_of_time(task)
        log(Event.STREAM_OUT_OF_TIME, request=task.request.attempt_id)
        connection.abort()
        return None

    async def _refuse(
        self, connection: ClientConnection, attempt: str, error: RequestFailed
    ) -> None:
        log(
            Event.REQUEST_FAILED,
            request=attempt,
            kind=error.kind.value,
            detail=error.detail,
            retry_s=error.retry_after_s,
        )
        if not connection.can_start_response():
            connection.abort()
            return
        document = problem_document(error.kind, error.detail, None)
        head, body = json_answer(error.status, document, error.retry_after_s)
        await self._send(connection, BufferedResponse(head, body))

    async def _send(self, connection: ClientConnection, answer: BufferedResponse) -> None:
        head = answer.head
        headers = (*head.headers, *self._closing())
        try:
            await connection.send_response(
                ResponseHead(head.status, head.reason, headers), answer.body
            )
        except ClientDisconnected:
            connection.abort()

    def _closing(self) -> tuple[tuple[bytes, bytes], ...]:
        return (_CLOSE,) if self._leaving else ()

    def _limits(self) -> ServerLimits:
        table = self._store.gate.table
        return LIMITS_AT_START if table is None else table.configuration.limits


def _out_of_time(task: RelayTask) -> RequestFailed:
    """Return the failure of a request that was ended at its deadline or at this instance's stop."""
    is_stop = task.time_left_s() > 0
    detail = "no answer before this instance ended" if is_stop else "no answer in time"
    return RequestFailed(ErrorKind.OUT_OF_TIME, detail)


class _FrontStream(ClientStream):
    """The response stream to a client."""

    def __init__(
        self, connection: ClientConnection, closing: tuple[tuple[bytes, bytes], ...]
    ) -> None:
        self._connection = connection
        self._closing = closing

    async def start(self, head: ResponseHead) -> None:
        """Send the head."""
        headers = (*head.headers, *self._closing)
        start = ResponseHead(head.status, head.reason, headers)
        await self._send_if_connected(self._connection.start_stream(start))

    async def send(self, data: bytes) -> None:
        """Send whole events."""
        await self._send_if_connected(self._connection.send_chunk(data))

    async def finish(self) -> None:
        """Finish the response so that the client sees it as complete."""
        await self._send_if_connected(self._connection.finish_stream())

    def abort(self) -> None:
        """Break the response off so that it cannot look complete."""
        self._connection.abort()

    @staticmethod
    async def _send_if_connected(sending: Awaitable[None]) -> None:
        try:
            await sending
        except ClientDisconnected:
            # `_cancel_on_disconnect` sees the same and cancels the relay, which closes the runner's
            # connection in turn.
            await trio.sleep_forever()
