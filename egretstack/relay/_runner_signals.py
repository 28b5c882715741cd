"""Takes what runners say of themselves beside their answers, as relays hear it."""

from abc import ABC, abstractmethod

from egretstack.ids import RunnerId
from egretstack.traffic import RunnerAnswer


class RunnerSignals(ABC):
    """Learns from answers what runners take."""

    @abstractmethod
    def on_answer(self, runner: RunnerId, answer: RunnerAnswer, sent_s: float) -> None:
        """Take what a runner says beside its answer to a request that was sent at `sent_s`."""
