"""What a policy is."""

from abc import ABC, abstractmethod

from egretstack.lengths import LengthSummary
from egretstack.policy._messages import Action, PolicyEvent


class Policy(ABC):
    """Decides on admission, order, runner and relief; does no I/O and reads no clock.

    Every piece of work that arrives is answered by one Dispatch or Refuse, at once or later;
    after an Evict it waits for another. A policy that wants to be called at a later time says
    so in `next_wake_s`.
    """

    name: str

    @abstractmethod
    def handle(self, now_s: float, event: PolicyEvent) -> list[Action]:
        """Take note of an event and answer with actions, in the order to carry them out."""

    @abstractmethod
    def next_wake_s(self) -> float | None:
        """Give the time at which to send a Tick, or None."""

    def length_summary(self) -> LengthSummary:
        """Give what other instances may learn from this one; a policy that learns nothing: none.

        The others are told of it in a LengthsLearned.
        """
        return LengthSummary()
