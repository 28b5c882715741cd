"""Times that one instance measures on engines, until it sends them to the home.

For the load of many instances that each see few runs of any one engine: an instance sends what it
measured, and the home puts the timings of all instances together. Does no I/O.
"""

from dataclasses import dataclass, field
from math import isfinite
from statistics import median

from egretstack.ids import RunnerId
from egretstack.messages import MessageError

MAX_TIMED_ENGINES = 24
"""Limit on the rows of one message, some 100 bytes each; the others wait for the next one."""
MAX_FIRST_TOKENS = 8
"""Limit on the first tokens of one engine in one message. More come only after lost periods."""
MAX_GAPS = 64
"""Limit on the gaps from which the median of one engine is taken."""
MAX_HELD_ENGINES = 256
"""Limit on the engines that wait for a message; the oldest are dropped."""
MIN_TIMED_TOKENS = 300
"""Shortest prompt that is timed; with shorter ones the overhead of a request dominates."""
MAX_TIME_S = 60.0
"""Longest time of one measurement that is taken over from a message."""
MAX_PROMPT_TOKENS = 10_000_000
MAX_EVENTS = 1_000_000


@dataclass(frozen=True, slots=True)
class FirstTokenTiming:
    """The time from sending a prompt to the first event."""

    attempt: str
    prompt_tokens: int
    read_s: float


@dataclass(frozen=True, slots=True)
class EngineTiming:
    """What one instance measured on one engine in one report period."""

    runner: RunnerId
    gaps: int
    """Number of gaps between events; 0 if there were none."""
    gap_s: float
    """Median time for one event."""
    first_tokens: tuple[FirstTokenTiming, ...] = ()
    events: int = 0
    """Number of events after the first ones of their runs."""
    mean_gap_s: float = 0.0
    """Mean time for one of them, with whatever delayed some of them."""
    longest_first_s: float = 0.0
    """Longest time from a send to its first event, whatever the prompt; 0 if there was none."""


@dataclass(slots=True)
class _Measured:
    gaps_s: list[float] = field(default_factory=list)
    first_tokens: list[FirstTokenTiming] = field(default_factory=list)
    events: int = 0
    events_s: float = 0.0
    longest_first_s: float = 0.0


class EngineTimingLog:
    """The timings of this instance's runs that were not sent yet."""

    def __init__(self) -> None:
        self._measured_by_id: dict[RunnerId, _Measured] = {}

    def record_first_token(
        self, runner: RunnerId, attempt: str, prompt_tokens: int, read_s: float
    ) -> None:
        """Record the time from sending a prompt to its first event."""
        if not 0.0 < read_s <= MAX_TIME_S:
            return
        measured = self._measured(runner)
        measured.longest_first_s = max(measured.longest_first_s, read_s)
        first_tokens = measured.first_tokens
        if prompt_tokens >= MIN_TIMED_TOKENS and len(first_tokens) < MAX_FIRST_TOKENS:
            first_tokens.append(FirstTokenTiming(attempt, prompt_tokens, read_s))

    def record_gap(self, runner: RunnerId, gap_s: float, events: int) -> None:
        """Record the time from one reading of events to the next one, which held `events`."""
        if events < 1 or not 0.0 < gap_s <= MAX_TIME_S:
            return
        measured = self._measured(runner)
        measured.events += events
        measured.events_s += gap_s
        gaps_s = measured.gaps_s
        if len(gaps_s) < MAX_GAPS:
            gaps_s.append(gap_s / events)

    def take(self) -> list[EngineTiming]:
        """Return and forget the timings for one message, those of the first engines measured."""
        taken = list(self._measured_by_id)[:MAX_TIMED_ENGINES]
        return [_summary(runner, self._measured_by_id.pop(runner)) for runner in taken]

    def _measured(self, runner: RunnerId) -> _Measured:
        measured = self._measured_by_id.get(runner)
        if measured is None:
            if len(self._measured_by_id) >= MAX_HELD_ENGINES:
                del self._measured_by_id[next(iter(self._measured_by_id))]
            measured = self._measured_by_id[runner] = _Measured()
        return measured


def _summary(runner: RunnerId, measured: _Measured) -> EngineTiming:
    # Prompts that are processed beside a run lengthen some of its gaps; the median is that of the
    # usual gap as long as they take less than half of the time.
    gap_s = median(measured.gaps_s) if measured.gaps_s else 0.0
    return EngineTiming(
        runner,
        len(measured.gaps_s),
        gap_s,
        tuple(measured.first_tokens),
        measured.events,
        round(measured.events_s / measured.events, 6) if measured.events else 0.0,
        measured.longest_first_s,
    )


def timing_row(timing: EngineTiming) -> list:
    """Return a timing as a row for a message."""
    return [
        timing.runner,
        timing.gaps,
        round(timing.gap_s * 1e6),
        [
            [first.attempt, first.prompt_tokens, round(first.read_s * 1000)]
            for first in timing.first_tokens
        ],
        min(timing.events, MAX_EVENTS),
        round(timing.mean_gap_s * 1e6),
        round(timing.longest_first_s * 1000),
    ]


def timing_from_row(row: object) -> EngineTiming:
    """Parse the row of a timing. Raises MessageError."""
    try:
        runner, gaps, gap_us, firsts, *rest = row
        # Versions before the last three columns send rows without them.
        events, mean_us, first_ms, *_ = (*rest, 0, 0, 0)
        if not isinstance(runner, str) or not isinstance(firsts, list):
            raise ValueError("wrong types")
        if len(firsts) > MAX_FIRST_TOKENS:
            raise ValueError("too many first tokens")
        gap_s = _checked(gap_us, MAX_TIME_S * 1e6) / 1e6
        count = int(_checked(gaps, MAX_GAPS))
        return EngineTiming(
            RunnerId(runner),
            count if gap_s else 0,
            gap_s,
            tuple(_first_token_from_row(first) for first in firsts),
            int(_checked(events, MAX_EVENTS)),
            _checked(mean_us, MAX_TIME_S * 1e6) / 1e6,
            _checked(first_ms, MAX_TIME_S * 1000) / 1000,
        )
    except (TypeError, ValueError) as error:
        raise MessageError(f"not an engine timing: {error}") from error


def _first_token_from_row(row: object) -> FirstTokenTiming:
    attempt, prompt_tokens, read_ms, *_ = row
    if not isinstance(attempt, str):
        raise ValueError("wrong types")
    prompt_tokens = int(_checked(prompt_tokens, MAX_PROMPT_TOKENS))
    return FirstTokenTiming(attempt, prompt_tokens, _checked(read_ms, MAX_TIME_S * 1000) / 1000)


def _checked(value: object, most: float) -> float:
    """Return a number between 0 and `most`. Raises ValueError."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("wrong types")
    if not isfinite(value) or not 0 <= value <= most:
        raise ValueError("out of range")
    return value
