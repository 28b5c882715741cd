"""How a stream went by the clock."""

import trio


class StreamPace:
    """Times of one stream, on the runtime's clock."""

    def __init__(self, began_s: float) -> None:
        self.events = 0
        self.longest_gap_s = 0.0
        self._began_s = began_s
        self._sent_s = began_s
        self._first_s = began_s
        self._last_s = began_s

    def sent(self) -> None:
        """Note that the request went out."""
        self._sent_s = trio.current_time()

    def passed(self, events: int) -> bool:
        """Note events that are passed on; tell whether the first is among them."""
        now_s = trio.current_time()
        first = not self.events
        if first:
            self._first_s = now_s
        else:
            self.longest_gap_s = max(self.longest_gap_s, now_s - self._last_s)
        self._last_s = now_s
        self.events += events
        return first

    @property
    def first_s(self) -> float:
        """Time from the request to the first event."""
        return self._first_s - self._began_s

    @property
    def read_s(self) -> float:
        """Time from the send to the first event."""
        return self._first_s - self._sent_s
