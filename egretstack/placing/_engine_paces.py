"""How long streams take on the slowest engine of each service, for forecasts that have to hold.

The home puts the timings of all instances together and sends the result to all. Does no I/O; the
time is passed in.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import ceil, isfinite

from egretstack.ids import RunnerId, ServiceName
from egretstack.messages import MessageError
from egretstack.placing._engine_timings import EngineTiming

WINDOW_S = 10
"""Seconds over which events are averaged, and of which the latest first event counts."""
MIN_EVENTS = 8
"""Events of an engine in that time from which its pace counts."""
TTL_S = 60.0
"""How long a pace is used after the last measurement."""
MAX_SERVICES = 256
MAX_ROW_S = 3600.0
_EVENT_UNITS_PER_S = 10_000
_FIRST_UNITS_PER_S = 100


@dataclass(frozen=True, slots=True)
class StreamPace:
    """Times on the slowest engine of a service, in seconds."""

    first_s: float
    """From sending a request to its first event: the longest measured."""
    event_s: float
    """From one event to the next, on average."""

    def slower(self, other: "StreamPace | None") -> "StreamPace":
        """Return the longer of both times."""
        if other is None:
            return self
        return StreamPace(max(self.first_s, other.first_s), max(self.event_s, other.event_s))


@dataclass(slots=True)
class _Second:
    """What was measured on one engine in one second."""

    events: int = 0
    events_s: float = 0.0
    longest_first_s: float = 0.0


@dataclass(slots=True)
class _Measured:
    """What was measured on the engines of one service."""

    seconds_by_runner: dict[RunnerId, dict[int, _Second]] = field(default_factory=dict)
    pace: StreamPace | None = None
    measured_s: float = 0.0
    pruned_s: float = float("-inf")

    def prune(self, now_s: float) -> None:
        """Drop what was measured before the window, once a second."""
        if now_s - self.pruned_s < 1.0:
            return
        self.pruned_s = now_s
        for runner, seconds in list(self.seconds_by_runner.items()):
            for second in [one for one in seconds if now_s - one > WINDOW_S]:
                del seconds[second]
            if not seconds:
                del self.seconds_by_runner[runner]


class EnginePaces:
    """The paces of all services: measured here, as the home for all, and as the home has sent."""

    def __init__(self) -> None:
        self._measured_by_service: dict[ServiceName, _Measured] = {}
        self._received_by_service: dict[ServiceName, StreamPace] = {}
        self._received_s = float("-inf")

    def record(
        self, now_s: float, service: ServiceName, runner: RunnerId, timing: EngineTiming
    ) -> None:
        """Record what an instance measured on an engine in the last second."""
        known = self._measured_by_service.get(service)
        if known is None:
            if len(self._measured_by_service) >= MAX_SERVICES:
                return
            known = self._measured_by_service[service] = _Measured()
        known.prune(now_s)
        seconds = known.seconds_by_runner.setdefault(runner, {})
        second = seconds.setdefault(int(now_s), _Second())
        second.events += timing.events
        second.events_s += timing.events * timing.mean_gap_s
        second.longest_first_s = max(second.longest_first_s, timing.longest_first_s)

    def pace(self, now_s: float, service: ServiceName) -> StreamPace | None:
        """Return the times on the slowest engine of a service; None if none was measured."""
        measured = self._measured(now_s, service)
        received = self._received_by_service.get(service)
        return received if measured is None else measured.slower(received)

    def rows(self, now_s: float) -> dict[ServiceName, list]:
        """Return the rows that the home sends, by service: both times, in 0.1 ms and in 10 ms.

        What an earlier home had sent is dropped once this one has measured the service.
        """
        if now_s - self._received_s > TTL_S:
            self._received_by_service = {}
        for service in self._measured_by_service:
            if self._measured(now_s, service) is not None:
                self._received_by_service.pop(service, None)
        paces = {service: self.pace(now_s, service) for service in self._services()}
        return {
            service: [
                ceil(pace.event_s * _EVENT_UNITS_PER_S),
                ceil(pace.first_s * _FIRST_UNITS_PER_S),
            ]
            for service, pace in paces.items()
            if pace is not None
        }

    def apply(self, now_s: float, pace_by_service: Mapping[ServiceName, StreamPace]) -> None:
        """Replace the paces that the home has sent."""
        self._received_by_service, self._received_s = dict(pace_by_service), now_s

    def _services(self) -> list[ServiceName]:
        return sorted(self._measured_by_service.keys() | self._received_by_service.keys())

    def _measured(self, now_s: float, service: ServiceName) -> StreamPace | None:
        known = self._measured_by_service.get(service)
        if known is None:
            return None
        pace = _slowest(now_s, known)
        if pace is not None:
            known.pace, known.measured_s = pace, now_s
        elif now_s - known.measured_s > TTL_S:
            known.pace = None
        return known.pace


def _slowest(now_s: float, measured: _Measured) -> StreamPace | None:
    """Return the times on the slowest engine in the window; None if they were not measured."""
    measured.prune(now_s)
    first_s, event_s = 0.0, 0.0
    for seconds in measured.seconds_by_runner.values():
        first_s = max(first_s, max(one.longest_first_s for one in seconds.values()))
        events = sum(one.events for one in seconds.values())
        if events >= MIN_EVENTS:
            event_s = max(event_s, sum(one.events_s for one in seconds.values()) / events)
    return StreamPace(first_s, event_s) if first_s and event_s else None


def pace_from_row(row: object) -> StreamPace:
    """Parse the row of a pace; later versions may add columns. Raises MessageError."""
    try:
        event_units, first_units, *_ = row
    except (TypeError, ValueError) as error:
        raise MessageError(f"not a pace: {error}") from error
    return StreamPace(
        _seconds(first_units, _FIRST_UNITS_PER_S), _seconds(event_units, _EVENT_UNITS_PER_S)
    )


def _seconds(units: object, units_per_s: int) -> float:
    if isinstance(units, bool) or not isinstance(units, int | float) or not isfinite(units):
        raise MessageError("a time of a pace is not a number")
    if not 0 < units <= MAX_ROW_S * units_per_s:
        raise MessageError("a time of a pace is out of bounds")
    return units / units_per_s
