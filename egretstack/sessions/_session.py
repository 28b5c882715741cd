"""A session: the events of its generation between the task that follows the engine and the
caller's connection."""

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
"""Events that wait for a slow caller before the engine's stream is left unread."""
KEPT_EVENTS = 512
"""Read events that are kept for a caller who comes back with an earlier number."""


class ReaderStalled(Exception):
    """Nobody took events for longer than is allowed, and too many wait."""


@dataclass(frozen=True)
class SessionRequest:
    """What the caller asked for. `unread_s` bounds how long a full buffer may stay unread."""

    account: AccountId
    service: ServiceName
    generation: GenerationRequest
    streamed: bool
    unread_timeout_s: float = 60.0


class Session:
    """The state of one session on the entry that serves it.

    The pump adds events; one reader at a time takes them. A newer reader supersedes an older.
    """

    def __init__(self, work_id: RequestId, request: SessionRequest, cursor: Cursor) -> None:
        self.work_id = work_id
        self.request = request
        self.cursor = cursor
        self.id: SessionId | None = None
        self.runner: RunnerId | None = None
        self.outcome: FinishedAnswer | EgretError | None = None
        self.last_read = cursor.last
        """Sequence number of the last event that a caller may have seen."""
        self.tokens = max(0, cursor.last)
        """Output tokens received from the engine; event N of a stream is its token N."""
        self.tokens_before = self.tokens
        """Tokens that the caller had before this entry took the session over."""
        self.is_withheld: Callable[[], bool] = lambda: False
        """Tells that readers may take nothing, since the generation is about to be dropped."""
        self.on_read: Callable[[int], None] = lambda tokens: None
        """Told of how many tokens a reader takes that none took before."""
        self.on_outcome: Callable[[FinishedAnswer | EgretError], None] = lambda outcome: None
        self._events: deque[EngineEvent] = deque()
        self._changed = trio.Event()
        self._room = trio.Event()
        self._reader = 0

    @property
    def delivered(self) -> int:
        """Give the number of output tokens that the caller may have seen."""
        return max(0, self.last_read)

    @property
    def deliverable(self) -> int:
        """Give the number of output tokens that the caller has once it has read to the end.

        An outcome is read after the events that wait before it. Were the count in it the one
        of the moment it was set, the caller would be told of fewer tokens than it got.
        """
        return max(0, self.tokens) if self.request.streamed else 0

    async def add(self, event: EngineEvent) -> None:
        """Add the next event; wait while too many are unread. Raises ReaderStalled."""
        self._events.append(event)
        self.tokens = event.sequence
        self._wake()
        while self.request.streamed and self.cursor.last - self.last_read > MAX_UNREAD_EVENTS:
            await self._wait_for_room()

    def restart(self) -> None:
        """Forget a generation of which nothing was taken."""
        if self.last_read >= 0:
            raise ValueError("events of this generation were taken")
        self.cursor = Cursor()
        self.id = None
        self.runner = None
        self.tokens = 0
        self._events.clear()

    def end(self, outcome: FinishedAnswer | EgretError) -> None:
        """Set the outcome, once; readers get what is left, then it."""
        if self.outcome is None:
            self.outcome = outcome
            self.on_outcome(outcome)
        self._wake()

    def text(self) -> str:
        """Join the text of the events that are kept."""
        return "".join(event.text for event in self._events)

    def can_read_after(self, after: int) -> bool:
        """Tell whether the events after a sequence number are still kept here."""
        return bool(self._events) and self._events[0].sequence <= after + 1

    def supersede(self) -> int:
        """Make a new reader the only one; give its number."""
        self._reader += 1
        self._wake()
        return self._reader

    def is_reader(self, reader: int) -> bool:
        """Tell whether this reader was not superseded."""
        return self._reader == reader

    async def wait_for_end(self) -> None:
        """Wait for the outcome."""
        while self.outcome is None:
            await self._changed.wait()

    async def batches(
        self, reader: int, after: int, heartbeat_s: float
    ) -> AsyncIterator[list[EngineEvent]]:
        """Give events in batches of what is ready; an empty one after a silence.

        Ends at the outcome, or when another reader superseded this one.
        """
        position = after
        while self.is_reader(reader):
            changed = self._changed
            ready = self._after(position)
            if ready and not self._binds_only(ready) and not self.is_withheld():
                position = ready[-1].sequence
                self._take(position)
                yield ready
                continue
            if self.outcome is not None:
                return
            with trio.move_on_after(heartbeat_s) as silence:
                await changed.wait()
            if silence.cancelled_caught:
                yield []

    async def _wait_for_room(self) -> None:
        # A connection that is open and never read would keep the buffer, the engine's memory
        # and the account's place for ever; the bound covers a caller that is away as well.
        with trio.move_on_after(self.request.unread_timeout_s) as wait:
            self._room = trio.Event()
            await self._room.wait()
        if wait.cancelled_caught:
            raise ReaderStalled

    def _binds_only(self, ready: list[EngineEvent]) -> bool:
        """Tell whether all that is ready is the event that names the generation.

        It is held until a token follows. Sent alone it would bind the caller to a generation of
        which nothing was delivered, and that generation could not be run again elsewhere.
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

    def _take(self, position: int) -> None:
        self.on_read(max(0, position) - self.delivered)
        self.last_read = max(self.last_read, position)
        while self._events and self._events[0].sequence <= self.last_read - KEPT_EVENTS:
            self._events.popleft()
        self._room.set()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
