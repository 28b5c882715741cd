"""Keeps requests under which runners end from further runners, as relays see it."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import AbstractContextManager

import trio

from egretstack.ids import ContentId, RunnerId


class CrashGuard(ABC):
    """Knows which requests no runner may get, and learns how runs end."""

    @abstractmethod
    def is_refused(self, content: ContentId) -> bool:
        """Tell whether no runner may get a request now."""

    @abstractmethod
    def notify_when_refused(
        self, content: ContentId, wake: Callable[[], None]
    ) -> AbstractContextManager[None]:
        """Call `wake` if a request is refused while the context lasts."""

    @abstractmethod
    def record_broken_run(
        self,
        attempt: str,
        content: ContentId,
        runner: RunnerId,
        sent_s: float,
        first_event_s: float | None = None,
    ) -> trio.Event:
        """Take note that a run, sent at `sent_s`, broke off at a runner.

        Whoever wants to send the request again waits for the event first. It is set at once unless
        an earlier run has ended a runner; then once it is known whether this runner has ended too.
        """

    @abstractmethod
    def record_answered(self, content: ContentId) -> None:
        """Take note that a runner ran a request to an end and lives."""
