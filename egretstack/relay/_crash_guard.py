"""What relays tell of runs that ended before their end."""

from abc import ABC, abstractmethod

import trio

from egretstack.ids import ContentId, RunnerId


class CrashGuard(ABC):
    """Finds out which requests were running when their runner ended."""

    @abstractmethod
    def broke(
        self, attempt: str, content: ContentId, runner: RunnerId, sent_s: float
    ) -> trio.Event:
        """Take note that a run, sent at `sent_s`, broke off at a runner.

        The event is set once it is known whether the runner has ended.
        """
