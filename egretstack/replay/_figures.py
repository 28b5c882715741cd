"""The figures of one replay: sessions by outcome, and how long readers waited."""

from collections import Counter
from dataclasses import dataclass, field
from math import ceil

STALL_STEPS = 4
"""A gap between tokens counts as stall time beyond this many steps of the engine."""
_GAP_RESOLUTION_S = 0.0001


@dataclass(frozen=True)
class Figures:
    """The figures of one policy. Times are in seconds; shares are fractions of what was offered."""

    policy: str
    sessions: int
    finished: int
    refused: int
    given_up: int
    """Sessions whose caller left because no token had arrived after the deadline."""
    lost: int
    """Streams whose engine was reclaimed after delivery began."""
    value_share: float
    token_share: float
    stall_total_s: float
    stall_p95_s: float
    stall_worst_s: float
    preemptions: int
    """Preemptions by engines; `evictions` by the policy are not included."""
    evictions: int
    gap_p50_s: float
    gap_p95_s: float
    gap_p99_s: float
    first_token_p95_s: float


@dataclass
class Tally:
    """Counts the events of one replay."""

    offered_value: int = 0
    offered_tokens: int = 0
    finished: int = 0
    finished_value: int = 0
    finished_tokens: int = 0
    refused: int = 0
    given_up: int = 0
    lost: int = 0
    preemptions: int = 0
    evictions: int = 0
    sessions: int = 0
    gap_histogram: Counter[int] = field(default_factory=Counter)
    stall_s_by_session: dict[int, float] = field(default_factory=dict)
    first_token_delays_s: list[float] = field(default_factory=list)

    def record_gap(self, session: int, gap_s: float, step_s: float) -> None:
        """Record a reader's wait for the next token; `step_s` is its engine's step time."""
        self.gap_histogram[int(gap_s / _GAP_RESOLUTION_S + 0.5)] += 1
        stall_s = gap_s - STALL_STEPS * step_s
        if stall_s > 0:
            self.stall_s_by_session[session] = self.stall_s_by_session.get(session, 0.0) + stall_s

    def make_figures(self, policy: str) -> Figures:
        """Return the figures of everything recorded."""
        stalls = sorted(self.stall_s_by_session.values())
        streamed = len(self.first_token_delays_s)
        stalls = [0.0] * (streamed - len(stalls)) + stalls
        return Figures(
            policy=policy,
            sessions=self.sessions,
            finished=self.finished,
            refused=self.refused,
            given_up=self.given_up,
            lost=self.lost,
            value_share=_round_figure(self.finished_value / max(1, self.offered_value)),
            token_share=_round_figure(self.finished_tokens / max(1, self.offered_tokens)),
            stall_total_s=_round_figure(sum(stalls)),
            stall_p95_s=_round_figure(_quantile(stalls, 0.95)),
            stall_worst_s=_round_figure(max(stalls, default=0.0)),
            preemptions=self.preemptions,
            evictions=self.evictions,
            gap_p50_s=self._gap_quantile_s(0.5),
            gap_p95_s=self._gap_quantile_s(0.95),
            gap_p99_s=self._gap_quantile_s(0.99),
            first_token_p95_s=_round_figure(_quantile(sorted(self.first_token_delays_s), 0.95)),
        )

    def _gap_quantile_s(self, share: float) -> float:
        left = ceil(share * sum(self.gap_histogram.values()))
        for unit in sorted(self.gap_histogram):
            left -= self.gap_histogram[unit]
            if left <= 0:
                return _round_figure(unit * _GAP_RESOLUTION_S)
        return 0.0


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, ceil(share * len(ordered)) - 1)]


def _round_figure(value: float) -> float:
    return round(value, 4)
