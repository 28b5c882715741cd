"""Forecasts queueing times from the send rate and from the waits of recent requests."""

from collections import OrderedDict

RATE_HALF_LIFE_S = 30.0
"""Half-life of the weight of an observation of the send rate."""
MIN_SENT_WEIGHT = 4.0
"""Minimum weight of observations for a rate; below it, no wait is forecast from the rate."""
OUTCOME_TTL_S = 5.0
"""How long the last wait for a value counts; after that, one request is admitted to try again."""
MAX_VALUES = 64
"""Contract values whose last wait is kept."""
MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0


class WaitForecast:
    """Forecasts the wait of the requests for one group of runners.

    The longer of two forecasts counts. The position in the queue divided by the send rate covers
    bursts. The wait of the latest request of the same value, whether sent or given up, covers
    requests that are overtaken by more valuable ones.
    """

    def __init__(self) -> None:
        self._sent_weight = 0.0
        self._busy_s = 0.0
        self._advanced_s = 0.0
        self._busy = False
        self._outcomes: OrderedDict[int, tuple[float, float]] = OrderedDict()

    def record_sent(self, now_s: float, value: int, waited_s: float) -> None:
        """Record that a request was sent after a wait."""
        self._advance(now_s)
        if self._busy:
            self._sent_weight += 1
        self._record_outcome(now_s, value, waited_s)

    def record_missed(self, now_s: float, value: int, waited_s: float) -> None:
        """Record that a request missed its deadline after a wait."""
        self._record_outcome(now_s, value, waited_s)

    def set_waiting(self, now_s: float, has_waiting: bool) -> None:
        """Record whether any request is waiting."""
        self._advance(now_s)
        self._busy = has_waiting

    def wait_s(self, now_s: float, ahead: int, value: int) -> float:
        """Return the forecast wait in seconds behind `ahead` other requests."""
        by_rate_s = 0.0
        if self._sent_weight >= MIN_SENT_WEIGHT:
            by_rate_s = ahead * self._busy_s / self._sent_weight
        waited_s, at_s = self._outcomes.get(value, (0.0, 0.0))
        if now_s - at_s > OUTCOME_TTL_S:
            waited_s = 0.0
        return max(by_rate_s, waited_s)

    def retry_after_s(self, wait_s: float, allowed_s: float) -> float:
        """Return in how many seconds the forecast wait should fit the same request's deadline."""
        if wait_s <= allowed_s:
            return MIN_RETRY_S
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s - max(0.0, allowed_s) / 2))

    def _record_outcome(self, now_s: float, value: int, waited_s: float) -> None:
        self._outcomes[value] = (waited_s, now_s)
        self._outcomes.move_to_end(value)
        while len(self._outcomes) > MAX_VALUES:
            self._outcomes.popitem(last=False)

    def _advance(self, now_s: float) -> None:
        passed_s = now_s - self._advanced_s
        self._advanced_s = now_s
        kept = 0.5 ** (passed_s / RATE_HALF_LIFE_S)
        self._sent_weight *= kept
        self._busy_s *= kept
        if self._busy:
            self._busy_s += passed_s
