"""Tracks the last event that a stream's client received."""

from egretstack.relay._events import StreamEvent


class EventGap(Exception):
    """An event is missing, so no later event may be forwarded."""


class EventCursor:
    """Accepts each event once and in order, across all the runners that a stream comes from.

    A continued run may repeat its last event, for example if it had already produced all of them;
    forwarded, the client would receive that text twice. A run that continues after a later event
    than the client's last one would leave text out.
    """

    def __init__(self) -> None:
        self.last_id = ""
        self._step: int | None = None
        """Difference between the ids of consecutive events, once known."""

    def accept(self, events: list[StreamEvent]) -> list[StreamEvent]:
        """Return the events that the client does not have yet. Raises EventGap."""
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
