"""Interface that keeps requests which crash their runners from reaching further runners."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass

import trio

from egretstack.errors import ErrorKind
from egretstack.ids import PartId, RunnerId
from egretstack.traffic import Fingerprint


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why no runner may get a request."""

    kind: ErrorKind
    part: PartId | None = None
    """The part of its prompt that crashes runners; None if that is the request itself."""

    @property
    def detail(self) -> str:
        """The reason in words."""
        if self.part is None:
            return "each runner that ran it has ended"
        return f"runners have ended as they began to answer on its part {self.part}"


class CrashGuard(ABC):
    """Decides which requests are refused, from how earlier runs ended."""

    @abstractmethod
    def refusal(self, request: Fingerprint) -> Refusal | None:
        """Return why a request may currently be sent to no runner; None if it may be sent."""

    def is_refused(self, request: Fingerprint) -> bool:
        """Return whether a request may currently be sent to no runner."""
        return self.refusal(request) is not None

    @abstractmethod
    def notify_when_refused(
        self, request: Fingerprint, wake: Callable[[], None]
    ) -> AbstractContextManager[None]:
        """Call `wake` if the request becomes refused while the context is active."""

    @abstractmethod
    def record_broken_run(
        self,
        attempt: str,
        request: Fingerprint,
        runner: RunnerId,
        sent_s: float,
        first_event_s: float | None = None,
        *,
        has_proven: bool = False,
    ) -> trio.Event:
        """Record that a run, sent at `sent_s`, broke off at a runner.

        `has_proven`: whether the request has written on some runner for long enough to show that
        none of its parts crashes runners.

        A caller that wants to retry the request waits for the returned event first. The event is
        set immediately unless an earlier run of the request, or one with a part of its prompt,
        crashed its runner; in that case it is set once it is known whether this runner has crashed
        too.
        """

    @abstractmethod
    def record_answered(self, request: Fingerprint) -> None:
        """Record that a runner finished a request without crashing."""

    @abstractmethod
    def record_writing(self, request: Fingerprint, began_s: float) -> None:
        """Record that a runner that began to answer at a time has not crashed under that."""
