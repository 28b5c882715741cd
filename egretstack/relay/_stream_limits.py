"""Limits the streams in progress while most of them cannot end before their deadline.

When engines become slower than usual, for example since other work uses their machines, each of
many streams gets too little time: all of them run until their deadline and are given up, and
callers that return add to the load. With fewer streams in progress, those that are accepted end.

For services whose engines share something that is scarce. Lateness is told from the gaps of this
instance's streams and from how many events whole ones usually have; the length of a single stream
need not be known. Does no I/O; the time is passed in.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from egretstack.ids import ServiceName

RECENT_STREAMS = 16
"""Latest streams, ended or forecast to be late, of which the share of late ones is taken."""
MIN_LATE = 3
MIN_LATE_SHARE = 0.25
"""Late streams, and their share, from which the limit is lowered."""
FORECAST_SHARE = 0.25
"""Share of its time after which it is forecast whether a stream will be late."""
LOWER_FACTOR = 0.6
"""Factor by which it is lowered while the usual length of a whole stream is not known."""
MIN_LOWER_FACTOR = 0.3
MAX_LOWER_FACTOR = 0.8
SAFE_TIME_SHARE = 0.8
"""Share of its time in which a stream of the usual length has to end, so that the limit is low
enough; a stream that takes longer does not raise it."""
RAISE_STEP = 1.0
"""Raise of the limit for as many whole streams as it admits."""
MIN_SHARE = 0.1
"""Smallest limit, as a share of the streams in progress before there was one."""
RELEASE_S = 10.0
"""Time without a refusal and a late stream after which there is no limit any more."""
SLOW_FACTOR = 1.5
"""Multiple of the usual gap from which a late stream shows slow engines. Long streams are late with
the usual gap as well, and would be so beside fewer others."""
DEADLINE_MARGIN_S = 0.1
"""Time before a deadline from which a stream counts as late: its client's deadline, as seen there,
comes before the one that is known here."""
MAX_PAUSE_S = 1.0
"""Time without an event after which a late stream shows a stalled engine instead of slow ones."""
LOWER_GAP_WEIGHT = 0.3
RAISE_GAP_WEIGHT = 0.02
"""Weights of one stream's gap in the usual gap, which is that of times without load."""
WHOLE_WEIGHT = 0.1
"""Weight of one whole stream in the usual duration and length."""
MIN_RETRY_S = 0.3
MAX_RETRY_S = 5.0


@dataclass(eq=False, slots=True)
class StreamProgress:
    """A stream in progress."""

    service: ServiceName
    rank: int
    began_s: float
    deadline_s: float
    is_resumed: bool = False
    """Whether its client had a part before, so that its length says nothing about others."""
    is_whole: bool = False
    is_counted: bool = False
    """Whether it was counted as late already, by a forecast."""
    _events: int = 0
    _first_s: float = 0.0
    _last_s: float = -inf

    def record_events(self, now_s: float, count: int) -> None:
        """Record events that were forwarded to the client."""
        if not self._events:
            self._first_s = now_s
        self._events += count
        self._last_s = now_s

    @property
    def events(self) -> int:
        """Number of events so far."""
        return self._events

    def gap_s(self) -> float | None:
        """Return the mean time between two events; None with fewer than two."""
        return (self._last_s - self._first_s) / (self._events - 1) if self._events > 1 else None

    def will_be_late(self, now_s: float, usual_events: float) -> bool:
        """Return whether a stream of the usual length would be late at the present pace."""
        gap_s = self.gap_s()
        if self.is_resumed or gap_s is None:
            return False
        return now_s + (usual_events - self._events) * gap_s > self.deadline_s

    def is_forecast_due(self, now_s: float) -> bool:
        """Return whether the stream has lasted long enough for a forecast."""
        return now_s >= self.began_s + FORECAST_SHARE * (self.deadline_s - self.began_s)

    def is_late(self, now_s: float) -> bool:
        """Return whether the deadline has passed while events were still coming."""
        if now_s < self.deadline_s - DEADLINE_MARGIN_S:
            return False
        return now_s - self._last_s <= MAX_PAUSE_S


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A change of the limit of a service's streams; `limit` is None if there is none any more."""

    service: ServiceName
    limit: float | None
    in_progress: int
    late: int
    of: int
    """Number of the latest streams, of which `late` were late or will be."""


class _ServiceLimit:
    """The streams of one service."""

    def __init__(self, service: ServiceName) -> None:
        self.streams: set[StreamProgress] = set()
        self.limit: float | None = None
        self._service = service
        self._min_limit = 1.0
        self._changed_s = -inf
        self._needed_s = -inf
        """When the limit last refused a stream, or one was late."""
        self._recent: deque[bool] = deque(maxlen=RECENT_STREAMS)
        """Whether each of the latest streams was late, or is forecast to be."""
        self._usual_gap_s: float | None = None
        self._duration_s = MIN_RETRY_S
        self._usual_events: float | None = None

    def refuse(self, now_s: float, rank: int) -> float | None:
        """Return after which time the caller of a new stream may return; None if it may start.

        Only streams that are at least as urgent count.
        """
        if self.limit is None:
            return None
        excess = sum(one.rank <= rank for one in self.streams) - self.limit
        if excess < 0:
            return None
        self._needed_s = now_s
        retry_s = (excess + 1) * self._duration_s / self.limit
        return min(MAX_RETRY_S, max(MIN_RETRY_S, retry_s))

    def record_events(self, now_s: float, stream: StreamProgress) -> LimitChange | None:
        """Count a stream that is forecast to be late; return the change of the limit, if any."""
        if stream.is_counted or self._usual_events is None or not stream.is_forecast_due(now_s):
            return None
        if not stream.will_be_late(now_s, self._usual_events) or not self._is_slow(stream):
            return None
        stream.is_counted = True
        return self._record(now_s, stream, len(self.streams), is_late=True)

    def record_ended(self, now_s: float, stream: StreamProgress) -> LimitChange | None:
        """Record that a stream has ended; return the change of the limit if there is one."""
        in_progress = len(self.streams)
        self.streams.discard(stream)
        is_late = not stream.is_whole and stream.is_late(now_s) and self._is_slow(stream)
        if stream.is_whole:
            self._record_whole(now_s, stream)
        return self._record(now_s, stream, in_progress, is_late=is_late and not stream.is_counted)

    def _record(
        self, now_s: float, stream: StreamProgress, in_progress: int, *, is_late: bool
    ) -> LimitChange | None:
        # A stream that began before the last change says nothing about the present limit.
        if (stream.is_whole or is_late) and stream.began_s >= self._changed_s:
            self._recent.append(is_late)
        late = sum(self._recent)
        if is_late:
            self._needed_s = now_s
        if is_late and late >= MIN_LATE and late >= MIN_LATE_SHARE * len(self._recent):
            return self._lower(now_s, in_progress, late, self._lower_factor(stream))
        if self.limit is not None and now_s - self._needed_s > RELEASE_S:
            return self._change(now_s, None, in_progress, late)
        return None

    def _record_whole(self, now_s: float, stream: StreamProgress) -> None:
        took_s = now_s - stream.began_s
        self._duration_s += WHOLE_WEIGHT * (took_s - self._duration_s)
        if not stream.is_resumed:
            usual = stream.events if self._usual_events is None else self._usual_events
            self._usual_events = usual + WHOLE_WEIGHT * (stream.events - usual)
        gap_s = stream.gap_s()
        if gap_s is not None:
            usual_s = gap_s if self._usual_gap_s is None else self._usual_gap_s
            if gap_s < usual_s:
                usual_s += LOWER_GAP_WEIGHT * (gap_s - usual_s)
            elif self.limit is None:
                usual_s += RAISE_GAP_WEIGHT * (gap_s - usual_s)
            self._usual_gap_s = usual_s
        is_safe = took_s <= SAFE_TIME_SHARE * (stream.deadline_s - stream.began_s)
        if self.limit is not None and is_safe:
            self.limit += RAISE_STEP / self.limit

    def _is_slow(self, stream: StreamProgress) -> bool:
        gap_s = stream.gap_s()
        if gap_s is None or self._usual_gap_s is None:
            return gap_s is not None
        return gap_s >= SLOW_FACTOR * self._usual_gap_s

    def _lower_factor(self, late: StreamProgress) -> float:
        """Return by which factor fewer streams end in time, from the gaps of a late one."""
        gap_s = late.gap_s()
        if self._usual_events is None or gap_s is None:
            return LOWER_FACTOR
        safe_s = SAFE_TIME_SHARE * (late.deadline_s - late.began_s)
        factor = safe_s / (self._usual_events * gap_s)
        return min(MAX_LOWER_FACTOR, max(MIN_LOWER_FACTOR, factor))

    def _lower(self, now_s: float, in_progress: int, late: int, factor: float) -> LimitChange:
        if self.limit is None:
            self._min_limit = max(1.0, MIN_SHARE * in_progress)
        lowered = max(self._min_limit, factor * min(self.limit or inf, in_progress))
        return self._change(now_s, lowered, in_progress, late)

    def _change(
        self, now_s: float, limit: float | None, in_progress: int, late: int
    ) -> LimitChange:
        change = LimitChange(self._service, limit, in_progress, late, len(self._recent))
        self.limit = limit
        self._changed_s = now_s
        self._recent.clear()
        return change


@dataclass
class StreamLimits:
    """The limits of all services at this instance."""

    on_change: Callable[[LimitChange], None] = lambda change: None
    _limit_by_service: dict[ServiceName, _ServiceLimit] = field(default_factory=dict)

    def limited_count(self) -> int:
        """Return how many services' streams are limited."""
        return sum(one.limit is not None for one in self._limit_by_service.values())

    def refuse(self, now_s: float, service: ServiceName, rank: int) -> float | None:
        """Return after which time the caller of a new stream may return; None if it may start."""
        known = self._limit_by_service.get(service)
        return None if known is None else known.refuse(now_s, rank)

    def begin(
        self,
        now_s: float,
        service: ServiceName,
        rank: int,
        deadline_s: float,
        *,
        is_resumed: bool = False,
    ) -> StreamProgress:
        """Record a stream that is accepted; `end` has to be called once it has ended."""
        stream = StreamProgress(service, rank, now_s, deadline_s, is_resumed)
        known = self._limit_by_service.setdefault(service, _ServiceLimit(service))
        known.streams.add(stream)
        return stream

    def record_events(self, now_s: float, stream: StreamProgress, count: int) -> None:
        """Record events of a stream that were forwarded to its client."""
        stream.record_events(now_s, count)
        self._notify(self._limit_by_service[stream.service].record_events(now_s, stream))

    def end(self, now_s: float, stream: StreamProgress) -> None:
        """Record that a stream has ended, whole or not."""
        self._notify(self._limit_by_service[stream.service].record_ended(now_s, stream))

    def _notify(self, change: LimitChange | None) -> None:
        if change is not None:
            self.on_change(change)
