"""Which event of a stream the client has, and which one may come next."""

from egretstack.relay._events import StreamEvent


class EventGap(Exception):
    """An event is missing; nothing after it may be passed on."""


class EventCursor:
    """Lets each event pass once and in order, over all the runners that a stream comes from.

    A run that is continued may send its last event again, for one when it had already made all of
    them; passed on, the client would read a piece twice. And a run that goes on beyond the event
    that the client has would leave a piece out.
    """

    def __init__(self) -> None:
        self.last_id = ""
        self._step: int | None = None
        """Difference between the ids of two events in a row, once it is known."""

    def accept(self, events: list[StreamEvent]) -> list[StreamEvent]:
        """Give the events that are new to the client. Raises EventGap."""
        return [event for event in events if self._is_next(event)]

    def _is_next(self, event: StreamEvent) -> bool:
        if not event.id.isdigit() or not self.last_id:
            self.last_id = event.id or self.last_id
            return True
        ahead = int(event.id) - int(self.last_id)
        if ahead <= 0:
            return False
        if self._step is None:
            self._step = ahead
        elif ahead > self._step:
            raise EventGap(f"{event.id} after {self.last_id}")
        self.last_id = event.id
        return True
