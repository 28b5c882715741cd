"""The reserve-max baseline policy: memory for the longest answer is reserved per request."""

from egretstack.policy._messages import RunnerInfo, SchedulingRequest
from egretstack.policy._queued import QueuedPolicy


class ReserveMax(QueuedPolicy):
    """Sends to a runner only if every sequence on it could reach its maximum length.

    Of the requests of other instances only the number is known; each is assumed to need as much
    memory as the request in question. An empty runner accepts one sequence of any length.
    """

    name = "reserve-max"

    def _pick(
        self, now_s: float, request: SchedulingRequest, runners: list[RunnerInfo]
    ) -> RunnerInfo | None:
        fitting = [runner for runner in runners if self._fits(request, runner)]
        if not fitting:
            return None
        lowest = min(self._reserved(request, runner) for runner in fitting)
        tied = [runner for runner in fitting if self._reserved(request, runner) == lowest]
        return self._rng.choice(tied)

    def _fits(self, request: SchedulingRequest, runner: RunnerInfo) -> bool:
        load = self._load(runner)
        if load == 0:
            return True
        needed = self._reserved(request, runner) + _max_tokens(request)
        return load < runner.max_batch and needed <= runner.kv_capacity_tokens

    def _reserved(self, request: SchedulingRequest, runner: RunnerInfo) -> int:
        own = self._running_by_id[runner.id]
        others = self._load(runner) - len(own)
        return sum(_max_tokens(running) for running in own.values()) + others * _max_tokens(request)


def _max_tokens(request: SchedulingRequest) -> int:
    return request.prompt_tokens + request.max_output_tokens
