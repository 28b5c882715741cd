"""The time that an instance has left once it was asked to stop. Does no I/O."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf

import trio

ANSWERS_MARGIN_S = 0.5
"""Time before the end of the grace period at which requests without an answer are ended, so that
their clients are told that they may have run."""
STREAMS_MARGIN_S = 0.1
"""Time before the end of the grace period at which streams that are accepted are to have ended."""
STOP_MARGIN_S = 0.02
"""Time before the end of the grace period until which streams go on. The platform would end them a
moment later."""
ANSWERS_MARGIN_SHARE = 0.2
STREAMS_MARGIN_SHARE = 0.05
"""Largest shares of the grace period that the first two margins take."""


class Departure:
    """When a leaving instance ends its requests, and which of them wait for a runner."""

    def __init__(self) -> None:
        self._began_s: float | None = None
        self._grace_s = inf
        self._update_by_scope: dict[trio.CancelScope, Callable[[], float]] = {}

    @property
    def is_leaving(self) -> bool:
        """Whether the instance was asked to stop."""
        return self._began_s is not None

    @property
    def answers_until_s(self) -> float:
        """Until when requests may stay without an answer; infinite unless it leaves."""
        return self._end_s(min(ANSWERS_MARGIN_S, ANSWERS_MARGIN_SHARE * self._grace_s))

    @property
    def streams_until_s(self) -> float:
        """Until when accepted streams are to end; infinite unless the instance leaves."""
        return self._end_s(min(STREAMS_MARGIN_S, STREAMS_MARGIN_SHARE * self._grace_s))

    @property
    def stops_s(self) -> float:
        """When the process stops with streams still in progress; infinite unless it leaves."""
        return self._end_s(STOP_MARGIN_S)

    def begin(self, now_s: float, grace_s: float) -> None:
        """Begin to leave; the platform ends the process after the grace period."""
        self._began_s, self._grace_s = now_s, grace_s
        self._update_waiting()

    def limit_grace(self, grace_s: float) -> None:
        """Apply changed settings: a grace period that runs can only become shorter."""
        if self._began_s is not None and grace_s < self._grace_s:
            self._grace_s = grace_s
            self._update_waiting()

    @contextmanager
    def waiting(self, latest_send_s: Callable[[], float]) -> Iterator[trio.CancelScope]:
        """Cancel what is done in this context once a request can be sent to no runner any more.

        `latest_send_s` returns until when it can; it is asked again when that may have changed.
        """
        scope = trio.CancelScope(deadline=latest_send_s())
        self._update_by_scope[scope] = latest_send_s
        try:
            with scope:
                yield scope
        finally:
            del self._update_by_scope[scope]

    def _end_s(self, margin_s: float) -> float:
        return inf if self._began_s is None else self._began_s + self._grace_s - margin_s

    def _update_waiting(self) -> None:
        for scope, latest_send_s in self._update_by_scope.items():
            scope.deadline = latest_send_s()
