"""Which runners answer the home's health requests; pure."""

from egretstack.ids import RunnerId

UNRESPONSIVE_AFTER = 2
"""Health requests in a row without an answer: one may be lost with its connection."""
OWN_FAULT_SHARE = 0.5
"""Share of unresponsive runners above which the fault is assumed to be this instance's own.

Otherwise an instance that is cut off from the runners would keep the whole fleet from using any.
"""


class UnansweredQueries:
    """Counts unanswered health requests of each runner."""

    def __init__(self) -> None:
        self._missed_by_id: dict[RunnerId, int] = {}

    def record_answer(self, runner_id: RunnerId) -> None:
        """Record an answer."""
        self._missed_by_id.pop(runner_id, None)

    def record_miss(self, runner_id: RunnerId) -> None:
        """Record a health request that got no answer."""
        self._missed_by_id[runner_id] = self._missed_by_id.get(runner_id, 0) + 1

    def record_ended(self, runner_id: RunnerId) -> None:
        """Record that a runner was found to have ended; it is unresponsive until it answers."""
        self._missed_by_id[runner_id] = max(
            UNRESPONSIVE_AFTER, self._missed_by_id.get(runner_id, 0)
        )

    def unresponsive(self, queried: set[RunnerId]) -> frozenset[RunnerId]:
        """Return the unresponsive ones among the runners queried; none if too many are."""
        for runner_id in set(self._missed_by_id) - queried:
            del self._missed_by_id[runner_id]
        unresponsive = {
            one for one, missed in self._missed_by_id.items() if missed >= UNRESPONSIVE_AFTER
        }
        if len(unresponsive) > OWN_FAULT_SHARE * len(queried):
            return frozenset()
        return frozenset(unresponsive)
