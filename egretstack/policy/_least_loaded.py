"""The least-loaded baseline policy."""

from egretstack.policy._messages import RunnerInfo, SchedulingRequest
from egretstack.policy._queued import QueuedPolicy


class LeastLoaded(QueuedPolicy):
    """Sends each request to the runner with the fewest sequences, by its report and own sends."""

    name = "least-loaded"

    def _pick(
        self, now_s: float, request: SchedulingRequest, runners: list[RunnerInfo]
    ) -> RunnerInfo | None:
        free = [runner for runner in runners if self._load(runner) < runner.max_batch]
        if not free:
            return None
        lowest = min(self._load(runner) for runner in free)
        return self._rng.choice([runner for runner in free if self._load(runner) == lowest])
