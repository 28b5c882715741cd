"""The reserve-the-maximum baseline: memory for the longest answer is kept for each request."""

from egretstack.policy._messages import RunnerInfo, SchedulingRequest
from egretstack.policy._queued import QueuedPolicy


class ReserveMax(QueuedPolicy):
    """Sends to a runner only while every sequence on it could reach its longest length.

    What other instances sent is known by count, and taken to need as much as this work. A
    runner that is empty takes one sequence, however long it may get.
    """

    name = "reserve-max"

    def _pick(
        self, now_s: float, work: SchedulingRequest, runners: list[RunnerInfo]
    ) -> RunnerInfo | None:
        fitting = [runner for runner in runners if self._fits(work, runner)]
        if not fitting:
            return None
        least = min(self._reserved(work, runner) for runner in fitting)
        near = [one for one in fitting if self._reserved(work, one) == least]
        return self._rng.choice(near)

    def _fits(self, work: SchedulingRequest, runner: RunnerInfo) -> bool:
        load = self._load(runner)
        if load == 0:
            return True
        needed = self._reserved(work, runner) + _longest(work)
        return load < runner.max_batch and needed <= runner.kv_capacity_tokens

    def _reserved(self, work: SchedulingRequest, runner: RunnerInfo) -> int:
        own = self._running_by_id[runner.id]
        others = self._load(runner) - len(own)
        return sum(_longest(one) for one in own.values()) + others * _longest(work)


def _longest(work: SchedulingRequest) -> int:
    return work.prompt_tokens + work.max_output_tokens
