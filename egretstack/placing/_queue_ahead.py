"""The room that goes to others before each queued request. Does no I/O; the time is passed in."""

from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from egretstack.ids import ServiceName
from egretstack.placing._capacity_forecast import CapacityForecast
from egretstack.placing._capacity_sharing import CapacitySharing
from egretstack.placing._fair_order import OrderKey, QueuedRequest
from egretstack.placing._run import GenerationRequest

MAX_CHANGES = 256
"""Changes of a line after which its order is taken again: after a change of the home all that wait
come together, and each would look at all that came before it."""
ORDER_CACHE_S = 0.1
"""How long the order of the queue is used; to compute it takes some ms with hundreds waiting."""


@dataclass(slots=True)
class _Line:
    """The queued requests of one service in their order, as they were at one time."""

    area: float
    """Memory times time, in token seconds, of runs that go before all requests, and of these."""
    keys: list[OrderKey] = field(default_factory=list)
    areas: list[float] = field(default_factory=list)
    """The room that goes to others before each of the requests."""
    changes: list[tuple[OrderKey, float]] = field(default_factory=list)
    """The areas of those that have come since, and with a negative sign of those that left."""

    def area_before(self, key: OrderKey) -> float:
        """Return the room that goes to requests with smaller keys."""
        index = bisect_left(self.keys, key)
        before = self.areas[index] if index < len(self.areas) else self.area
        return max(0.0, before + sum(area for one, area in self.changes if one < key))


class QueueAhead:
    """The room ahead of queued requests; newcomers are added without sorting the queue again."""

    def __init__(
        self,
        forecast: CapacityForecast,
        sharing: CapacitySharing,
        find: Callable[[str], QueuedRequest | None],
    ) -> None:
        """`sharing` knows the order of the queued requests; `find` returns one of them."""
        self.find = find
        self._forecast = forecast
        self._sharing = sharing
        self._ordered_s = -inf
        self._line_by_service: dict[ServiceName, _Line] = {}
        self._known_by_attempt: dict[str, tuple[ServiceName, OrderKey, float]] = {}
        """Service, key and own area of each request that is in a line."""

    def area_ahead(self, now_s: float, queued: QueuedRequest) -> float:
        """Return the room that goes to others before a queued request."""
        request = queued.request
        line = self._line(now_s, request)
        if len(line.changes) >= MAX_CHANGES:
            self._ordered_s = -inf
            line = self._line(now_s, request)
        known = self._known_by_attempt.get(request.attempt)
        if known is None:
            key, area = self._sharing.key(queued), self._forecast.room_needed(request).area
            known = self._known_by_attempt[request.attempt] = (request.service, key, area)
            line.changes.append((key, area))
        return line.area_before(known[1])

    def area_before_newcomers(self, now_s: float, request: GenerationRequest) -> float:
        """Return the room that goes to queued requests before other newcomers of a rank."""
        key = self._sharing.newcomer_key(now_s, request)
        return self._line(now_s, request).area_before(key)

    def forget(self, attempt: str) -> None:
        """Forget a request that is no longer queued."""
        known = self._known_by_attempt.pop(attempt, None)
        if known is not None:
            service, key, area = known
            self._line_by_service[service].changes.append((key, -area))

    def _line(self, now_s: float, request: GenerationRequest) -> _Line:
        if not 0.0 <= now_s - self._ordered_s < ORDER_CACHE_S:
            self._update(now_s)
        line = self._line_by_service.get(request.service)
        if line is None:
            line = self._line_by_service[request.service] = _Line(self._displaced_area(request))
        return line

    def _update(self, now_s: float) -> None:
        before, self._known_by_attempt = self._known_by_attempt, {}
        self._line_by_service = {}
        self._ordered_s = now_s
        for key, queued in self._sharing.with_keys():
            request = queued.request
            line = self._line(now_s, request)
            known = before.get(request.attempt)
            area = self._forecast.room_needed(request).area if known is None else known[2]
            line.keys.append(key)
            line.areas.append(line.area)
            line.area += area
            self._known_by_attempt[request.attempt] = (request.service, key, area)

    def _displaced_area(self, request: GenerationRequest) -> float:
        """Return the room that runs on leaving engines of a service need elsewhere."""
        tokens = self._forecast.displaced_tokens(request.service)
        return tokens * self._forecast.room_needed(request).run_s
