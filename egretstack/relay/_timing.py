"""Times of one stream."""

import trio


class StreamTiming:
    """Records when a stream's request was sent and its events were forwarded, on trio's clock."""

    def __init__(self, received_s: float) -> None:
        self.events = 0
        self.longest_gap_s = 0.0
        self._received_s = received_s
        self._sent_s = received_s
        self._first_s = received_s
        self._last_s = received_s
        self._run_last_s: float | None = None
        """When events of the present run were forwarded last; None if there were none."""
        self.last_gap_s: float | None = None
        """Time between the last two forwardings of events that one run sent; None before."""

    def record_send(self) -> None:
        """Record that the request was sent."""
        self._sent_s = trio.current_time()

    def record_events(self, events: int) -> bool:
        """Record forwarded events; return whether the first one is among them."""
        now_s = trio.current_time()
        first = not self.events
        if first:
            self._first_s = now_s
        else:
            self.longest_gap_s = max(self.longest_gap_s, now_s - self._last_s)
        self.last_gap_s = now_s - self._run_last_s if self._run_last_s is not None else None
        self._last_s = self._run_last_s = now_s
        self.events += events
        return first

    def record_switch(self) -> None:
        """Record that another run sends the next events, so that no gap of a run ends there."""
        self._run_last_s = None

    @property
    def waiting_since_s(self) -> float:
        """When the latest events were forwarded, or the request arrived if none were."""
        return self._last_s

    @property
    def first_s(self) -> float:
        """Time from the request to the first event."""
        return self._first_s - self._received_s

    @property
    def read_s(self) -> float:
        """Time from the send to the first event."""
        return self._first_s - self._sent_s
