"""Permits to copy runs off an engine, one at a time. Does no I/O; the time is passed in.

Copies off one engine queue on its link. When several run at once, the last chunk of each, during
which the stream is paused, waits behind the first chunks of the others: the pause that a reader
sees grows from some 10 ms to several hundred. One copy at a time keeps it short.
"""

from collections.abc import Callable
from dataclasses import dataclass

from egretstack.ids import RunnerId

PERMIT_TTL_S = 2.5
"""How long a permit lasts at most. A copy takes some 0.2 to 0.4 s; one that hangs must not delay
the others for longer."""
REQUEST_TTL_S = 0.4
"""How long a request for a permit counts. An instance repeats it every tenth of a second; one that
stops has given up."""


@dataclass(slots=True)
class _PermitRequest:
    order: float
    requested_s: float
    refused: frozenset[RunnerId]
    """Engines that had no memory for the run's copy a moment ago."""


class MovePermits:
    """One permit at a time for each engine that runs are copied off."""

    def __init__(self) -> None:
        self._holder_by_source: dict[RunnerId, tuple[str, float]] = {}
        self._requests_by_source: dict[RunnerId, dict[str, _PermitRequest]] = {}

    def request(
        self,
        now_s: float,
        source: RunnerId,
        attempt: str,
        order: float,
        refused: frozenset[RunnerId] = frozenset(),
    ) -> bool:
        """Request a permit for a run; return whether it has it. The lowest `order` goes first."""
        requests = self._requests_by_source.setdefault(source, {})
        requests[attempt] = _PermitRequest(order, now_s, refused)
        holder = self._holder_by_source.get(source)
        if holder is not None and now_s - holder[1] < PERMIT_TTL_S:
            return holder[0] == attempt
        return self.grant_next(now_s, source) == attempt

    def release_ended(self, source: RunnerId, has_ended: Callable[[str], bool]) -> None:
        """Release the permit of a run that has ended; the message about it may have been lost."""
        holder = self._holder_by_source.get(source)
        if holder is not None and has_ended(holder[0]):
            self.release(source, holder[0])

    def holder(self, source: RunnerId) -> str | None:
        """Return the attempt that holds the permit of an engine; None if none does."""
        holder = self._holder_by_source.get(source)
        return None if holder is None else holder[0]

    def refusing_engines(self, source: RunnerId, attempt: str) -> frozenset[RunnerId]:
        """Return the engines that refused the copy of a run that requests a permit."""
        request = self._requests_by_source.get(source, {}).get(attempt)
        return frozenset() if request is None else request.refused

    def grant_next(self, now_s: float, source: RunnerId) -> str | None:
        """Grant a free permit to the first of those that request it.

        Returns None if the permit is held or nobody requests it.
        """
        holder = self._holder_by_source.get(source)
        if holder is not None and now_s - holder[1] < PERMIT_TTL_S:
            return None
        requests = self._requests_by_source.get(source, {})
        for attempt in [
            one for one, it in requests.items() if now_s - it.requested_s > REQUEST_TTL_S
        ]:
            del requests[attempt]
        if not requests:
            return None
        first = min(requests, key=lambda attempt: requests[attempt].order)
        self._holder_by_source[source] = (first, now_s)
        return first

    def release(self, source: RunnerId, attempt: str) -> None:
        """Release a run's permit and withdraw its request for one."""
        requests = self._requests_by_source.get(source, {})
        requests.pop(attempt, None)
        if not requests:
            self._requests_by_source.pop(source, None)
        holder = self._holder_by_source.get(source)
        if holder is not None and holder[0] == attempt:
            del self._holder_by_source[source]
