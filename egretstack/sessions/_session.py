"""A session: buffers the events of its generation between the pump and the caller's connection."""

from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import trio

from egretstack.delivery import Cursor
from egretstack.errors import EgretError
from egretstack.ids import AccountId, RequestId, RunnerId, ServiceName, SessionId
from egretstack.sessions._outcome import FinishedAnswer
from egretstack.upstreams import EngineEvent, EngineEventKind, GenerationRequest

MAX_UNREAD_EVENTS = 1024
"""Events buffered for a slow caller before the engine's stream is read no further."""
KEPT_EVENTS = 512
"""Events kept after they were read, for a caller that reconnects with an earlier number."""


class ReaderStalled(Exception):
    """The buffer was full and no events were read for longer than allowed."""


@dataclass(frozen=True)
class SessionRequest:
    """What the caller requested; `unread_timeout_s` limits how long a full buffer stays unread."""

    account: AccountId
    service: ServiceName
    generation: GenerationRequest
    streamed: bool
    unread_timeout_s: float = 60.0


class Session:
    """State of one session on the entry that serves it.

    The pump adds events; one reader at a time reads them. A newer reader supersedes an older one.
    """

    def __init__(self, work_id: RequestId, request: SessionRequest, cursor: Cursor) -> None:
        self.work_id = work_id
        self.request = request
        self.cursor = cursor
        self.id: SessionId | None = None
        self.runner: RunnerId | None = None
        self.outcome: FinishedAnswer | EgretError | None = None
        self.last_read = cursor.last
        """Sequence number of the last event that the caller may have received."""
        self.tokens = max(0, cursor.last)
        """Output tokens received from the engine; event N of a stream is its token N."""
        self.tokens_before = self.tokens
        """Output tokens that the caller had before this entry took the session over."""
        self.is_withheld: Callable[[], bool] = lambda: False
        """Whether readers may read nothing because the generation is about to be restarted."""
        self.on_read: Callable[[int], None] = lambda tokens: None
        """Called with the number of tokens that are read for the first time."""
        self.on_outcome: Callable[[FinishedAnswer | EgretError], None] = lambda outcome: None
        self._events: deque[EngineEvent] = deque()
        self._changed = trio.Event()
        self._space_available = trio.Event()
        self._current_reader = 0

    @property
    def delivered(self) -> int:
        """Number of output tokens that the caller may have received."""
        return max(0, self.last_read)

    @property
    def deliverable(self) -> int:
        """Number of output tokens that the caller will have received at the end of the stream.

        The outcome is read after all buffered events. If it contained the count at the time it was
        set, it would report fewer tokens than the caller received.
        """
        return max(0, self.tokens) if self.request.streamed else 0

    async def add(self, event: EngineEvent) -> None:
        """Add the next event, waiting while the buffer is full. Raises ReaderStalled."""
        self._events.append(event)
        self.tokens = event.sequence
        self._wake()
        while self.request.streamed and self.cursor.last - self.last_read > MAX_UNREAD_EVENTS:
            await self._wait_for_space()

    def restart(self) -> None:
        """Discard a generation of which nothing was read."""
        if self.last_read >= 0:
            raise ValueError("events of this generation were taken")
        self.cursor = Cursor()
        self.id = None
        self.runner = None
        self.tokens = 0
        self._events.clear()

    def end(self, outcome: FinishedAnswer | EgretError) -> None:
        """Set the outcome if there is none yet; readers get it after the remaining events."""
        if self.outcome is None:
            self.outcome = outcome
            self.on_outcome(outcome)
        self._wake()

    def text(self) -> str:
        """Return the concatenated text of the kept events."""
        return "".join(event.text for event in self._events)

    def can_read_after(self, after: int) -> bool:
        """Return whether all events after a sequence number are still kept."""
        return bool(self._events) and self._events[0].sequence <= after + 1

    def supersede(self) -> int:
        """Replace the current reader; return the number of the new one."""
        self._current_reader += 1
        self._wake()
        return self._current_reader

    def is_reader(self, reader: int) -> bool:
        """Return whether this reader has not been superseded."""
        return self._current_reader == reader

    async def wait_for_end(self) -> None:
        """Wait for the outcome."""
        while self.outcome is None:
            await self._changed.wait()

    async def batches(
        self, reader: int, after: int, heartbeat_s: float
    ) -> AsyncIterator[list[EngineEvent]]:
        """Yield batches of available events, and an empty one after `heartbeat_s` without events.

        Ends at the outcome, or when another reader supersedes this one.
        """
        position = after
        while self.is_reader(reader):
            changed = self._changed
            ready = self._after(position)
            if ready and not self._is_only_created(ready) and not self.is_withheld():
                position = ready[-1].sequence
                self._mark_read(position)
                yield ready
                continue
            if self.outcome is not None:
                return
            with trio.move_on_after(heartbeat_s) as wait:
                await changed.wait()
            if wait.cancelled_caught:
                yield []

    async def _wait_for_space(self) -> None:
        # A caller that keeps its connection open and never reads would hold the buffer, the
        # engine's memory and a slot of its account forever. The timeout also covers a disconnected
        # caller.
        with trio.move_on_after(self.request.unread_timeout_s) as wait:
            self._space_available = trio.Event()
            await self._space_available.wait()
        if wait.cancelled_caught:
            raise ReaderStalled

    def _is_only_created(self, ready: list[EngineEvent]) -> bool:
        """Return whether the only ready event is the one that names the generation.

        It is held back until a token follows. Sent alone, it would bind the caller to a generation
        of which nothing was delivered, and which then could not be restarted elsewhere.
        """
        return ready[-1].kind is EngineEventKind.CREATED and self.outcome is None

    def _after(self, position: int) -> list[EngineEvent]:
        if not self._events:
            return []
        skipped = max(0, position + 1 - self._events[0].sequence)
        wanted = len(self._events) - skipped
        if wanted <= 0:
            return []
        newest_first = [self._events[-1 - index] for index in range(wanted)]
        return newest_first[::-1]

    def _mark_read(self, position: int) -> None:
        self.on_read(max(0, position) - self.delivered)
        self.last_read = max(self.last_read, position)
        while self._events and self._events[0].sequence <= self.last_read - KEPT_EVENTS:
            self._events.popleft()
        self._space_available.set()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
