"""Interface for the signals that runners send in response headers: leaving, backoff and limit."""

from abc import ABC, abstractmethod

from egretstack.ids import RunnerId
from egretstack.traffic import RunnerAnswer


class RunnerSignals(ABC):
    """Records the signals of runners."""

    @abstractmethod
    def on_answer(self, runner: RunnerId, answer: RunnerAnswer, sent_s: float) -> None:
        """Record the signals in a runner's response to a request that was sent at `sent_s`."""
