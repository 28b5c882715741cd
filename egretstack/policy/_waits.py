"""Forecasts how long a request waits, from how fast work goes out and how others fared."""

from collections import OrderedDict

RATE_MEMORY_S = 30.0
"""Time in which an observation of the rate loses most of its weight."""
MIN_SENT = 4.0
"""Weight of observations that a rate rests on; before that no wait is forecast."""
OUTCOME_LIFE_S = 5.0
"""How long the last wait of a value forecasts the next one; then one is let in to see."""
MAX_VALUES = 64
MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0


class WaitForecast:
    """How long work waits for one group of runners.

    Two forecasts, the longer counts. The place in the queue over the rate at which work goes
    out tells of a burst. The wait that the last work of the same value had, or gave up after,
    tells of value that others keep passing.
    """

    def __init__(self) -> None:
        self._sent = 0.0
        self._busy_s = 0.0
        self._at_s = 0.0
        self._busy = False
        self._outcomes: OrderedDict[int, tuple[float, float]] = OrderedDict()

    def sent(self, now_s: float, value: int, waited_s: float) -> None:
        """Note work that went out after a wait."""
        self._advance(now_s)
        if self._busy:
            self._sent += 1
        self._note(now_s, value, waited_s)

    def missed(self, now_s: float, value: int, waited_s: float) -> None:
        """Note work that waited in vain."""
        self._note(now_s, value, waited_s)

    def waiting(self, now_s: float, some: bool) -> None:
        """Note whether some work waits."""
        self._advance(now_s)
        self._busy = some

    def wait_s(self, now_s: float, ahead: int, value: int) -> float:
        """Forecast the wait behind `ahead` others."""
        by_rate_s = 0.0
        if self._sent >= MIN_SENT:
            by_rate_s = ahead * self._busy_s / self._sent
        waited_s, at_s = self._outcomes.get(value, (0.0, 0.0))
        if now_s - at_s > OUTCOME_LIFE_S:
            waited_s = 0.0
        return max(by_rate_s, waited_s)

    def retry_after_s(self, wait_s: float, allowed_s: float) -> float:
        """Forecast when the same request would find a wait that its deadline allows."""
        if wait_s <= allowed_s:
            return MIN_RETRY_S
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s - max(0.0, allowed_s) / 2))

    def _note(self, now_s: float, value: int, waited_s: float) -> None:
        self._outcomes[value] = (waited_s, now_s)
        self._outcomes.move_to_end(value)
        while len(self._outcomes) > MAX_VALUES:
            self._outcomes.popitem(last=False)

    def _advance(self, now_s: float) -> None:
        passed_s = now_s - self._at_s
        self._at_s = now_s
        kept = 0.5 ** (passed_s / RATE_MEMORY_S)
        self._sent *= kept
        self._busy_s *= kept
        if self._busy:
            self._busy_s += passed_s
