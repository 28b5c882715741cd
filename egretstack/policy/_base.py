"""The interface of a scheduling policy."""

from abc import ABC, abstractmethod

from egretstack.lengths import LengthSummary
from egretstack.policy._messages import Action, PolicyEvent


class Policy(ABC):
    """Decides on admission, order, runner and eviction; does no I/O and reads no clock.

    Every request that arrives gets exactly one Dispatch or Refuse, immediately or later; after an
    Evict it waits for another one. `next_wake_s` returns the time at which the policy has to be
    called again.
    """

    name: str

    @abstractmethod
    def handle(self, now_s: float, event: PolicyEvent) -> list[Action]:
        """Process an event and return the resulting actions, in the order of execution."""

    @abstractmethod
    def next_wake_s(self) -> float | None:
        """Return the time at which to send a Tick, or None."""

    def length_summary(self) -> LengthSummary:
        """Return the output lengths that this instance observed, for the other instances.

        They receive it as a LengthsLearned event. A policy that observes no lengths returns an
        empty summary.
        """
        return LengthSummary()
