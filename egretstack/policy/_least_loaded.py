"""The least-loaded baseline: the runner with the fewest known sequences."""

from egretstack.policy._messages import RunnerInfo, SchedulingRequest
from egretstack.policy._queued import QueuedPolicy


class LeastLoaded(QueuedPolicy):
    """Sends each request to the runner with the fewest sequences, by report and own sends."""

    name = "least-loaded"

    def _pick(
        self, now_s: float, work: SchedulingRequest, runners: list[RunnerInfo]
    ) -> RunnerInfo | None:
        free = [runner for runner in runners if self._load(runner) < runner.max_batch]
        if not free:
            return None
        least = min(self._load(runner) for runner in free)
        return self._rng.choice([runner for runner in free if self._load(runner) == least])
