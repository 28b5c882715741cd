"""Tracks the last event that a stream's client received."""

import re

from egretstack.ids import ServiceName
from egretstack.relay._events import StreamEvent

_NUMBER_PATTERN = re.compile(r"[0-9]{1,40}")
"""Ids that are compared as numbers. Clients and runners may send any text as an id; `int` rejects
some characters that `str.isdigit` accepts, and numbers of thousands of digits."""


class EventGap(Exception):
    """An event is missing, so no later event may be forwarded."""


class EventSteps:
    """Largest known difference between the ids of consecutive events, by service.

    A resumed stream needs it to find a gap after the client's last event when too few events were
    seen to know the difference from the stream itself.
    """

    def __init__(self) -> None:
        self._step_by_service: dict[ServiceName, int] = {}

    def record(self, service: ServiceName, step: int | None) -> None:
        """Record the difference in a stream; None if it did not become known."""
        if step is not None:
            self._step_by_service[service] = max(step, self._step_by_service.get(service, 0))

    def known(self, service: ServiceName) -> int | None:
        """Return the largest difference of a service; None if there was no stream yet."""
        return self._step_by_service.get(service)


class EventCursor:
    """Accepts each event once and in order, across all the runners that a stream comes from.

    A continued run may repeat its last event, for example if it had already produced all of them;
    forwarded, the client would receive that text twice. A run that continues after a later event
    than the client's last one would leave text out.
    """

    def __init__(self, last_id: str = "", largest_step: int | None = None) -> None:
        self.last_id = last_id
        """The last event that the client has; empty if it has none."""
        self.step: int | None = None
        """Difference between the ids of consecutive events of one run, once known."""
        self._largest_step = largest_step
        """Limits the difference at the start of a run while `step` is not known."""
        self._is_run_start = True
        self._has_unnumbered = False

    @property
    def is_resumable(self) -> bool:
        """Whether a new run can continue exactly after the client's last event.

        It cannot after an event without a number: the new run would send that event again.
        """
        return not self._has_unnumbered

    def begin_run(self) -> None:
        """Record that the following events come from a new run."""
        self._is_run_start = True

    def accept(self, events: list[StreamEvent]) -> list[StreamEvent]:
        """Return the events that the client does not have yet.

        Raises EventGap; none of these events may be forwarded then, and the cursor stays unchanged.
        """
        before = self.last_id, self.step, self._is_run_start, self._has_unnumbered
        try:
            return [event for event in events if self._is_next(event)]
        except EventGap:
            self.last_id, self.step, self._is_run_start, self._has_unnumbered = before
            raise

    def _is_next(self, event: StreamEvent) -> bool:
        number, last = parse_event_number(event.id), parse_event_number(self.last_id)
        if number is not None and last is not None:
            if number <= last:
                return False
            self._check_step(number - last)
        elif self._is_run_start and event.id and event.id == self.last_id:
            return False
        self.last_id = event.id or self.last_id
        if event.id:
            self._is_run_start = False
        if number is not None:
            self._has_unnumbered = False
        elif event.has_data:
            self._has_unnumbered = True
        return True

    def _check_step(self, ahead: int) -> None:
        """Raise EventGap if an event is missing; learn the difference within a run."""
        limit = self._largest_step if self.step is None and self._is_run_start else self.step
        if limit is not None and ahead > limit:
            raise EventGap(f"{ahead} ids after {self.last_id}")
        if self.step is None and not self._is_run_start:
            self.step = ahead


def parse_event_number(event_id: str) -> int | None:
    """Return the number of an event; None if its id is not a number."""
    return int(event_id) if _NUMBER_PATTERN.fullmatch(event_id) else None
