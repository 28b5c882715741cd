"""The round-robin baseline policy."""

import random

from egretstack.ids import ModelName, RunnerId
from egretstack.policy._messages import RunnerInfo, SchedulingRequest
from egretstack.policy._queued import QueuedPolicy


class RoundRobin(QueuedPolicy):
    """Sends to the runners of a model in turn and skips those with a full batch."""

    name = "round-robin"

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._last_by_model: dict[ModelName, RunnerId] = {}

    def _pick(
        self, now_s: float, request: SchedulingRequest, runners: list[RunnerInfo]
    ) -> RunnerInfo | None:
        last = self._last_by_model.get(request.model, RunnerId(""))
        in_turn = sorted(runners, key=lambda runner: (runner.id <= last, runner.id))
        for runner in in_turn:
            if self._load(runner) < runner.max_batch:
                self._last_by_model[request.model] = runner.id
                return runner
        return None
