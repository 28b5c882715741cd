"""Counts of service-level events by account, against the targets of the account's contract.

Each event is compared with the targets in force when it happens, so that a target that lies
between two histogram buckets is evaluated exactly. The counts are plain integers, since a gap is
counted for each token; the registry reads them when its metrics are collected.
"""

from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import accumulate

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from egretstack.ids import AccountId
from egretstack.metrics._names import EVENTS, GOOD, TARGET_SECONDS, TARGET_SHARE

FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.63, 1.0, 2.0, 5.0, 10.0, 30.0)
GAP_BUCKETS_S = (0.01, 0.02, 0.036, 0.054, 0.072, 0.1, 0.2, 0.5, 1.0, 5.0)
OUTCOME_SHARE = 0.999
"""Target share of accepted sessions that finish or are correctly refused; not in contracts."""


class Objective(Enum):
    """What a service-level target applies to."""

    FIRST_TOKEN = "first-token"
    """A streamed session's first token was delivered within its target time."""
    GAP = "gap"
    """A gap between two tokens was within its target time."""
    OUTCOME = "outcome"
    """An accepted session finished, or was correctly refused before anything ran."""


@dataclass(frozen=True)
class LevelTargets:
    """An account's targets in seconds, and the share of events that has to meet them."""

    first_token_s: float
    gap_s: float
    share: float


@dataclass
class Tally:
    """The number of events of one objective, and how many of them met the target."""

    total: int = 0
    good: int = 0

    def add(self, good: bool, count: int = 1) -> None:
        """Count `count` events that met the target, or did not."""
        self.total += count
        if good:
            self.good += count


class IntHistogram:
    """A histogram with plain integer counts."""

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self._bounds = bounds
        self._counts = [0] * (len(bounds) + 1)
        self._sum = 0.0

    def add(self, value: float, count: int = 1) -> None:
        """Count `count` observations of one value."""
        self._counts[bisect_left(self._bounds, value)] += count
        self._sum += value * count

    def add_to(self, family: HistogramMetricFamily, account: AccountId) -> None:
        """Add the histogram to a metric family."""
        names = [str(float(bound)) for bound in self._bounds] + ["+Inf"]
        buckets = zip(names, accumulate(self._counts), strict=True)
        family.add_metric([account], [[name, count] for name, count in buckets], self._sum)


class AccountLevels:
    """The counts of one account on this instance."""

    def __init__(self, targets: LevelTargets) -> None:
        self.targets = targets
        self.tally_by_objective = {objective: Tally() for objective in Objective}
        self.first_tokens = IntHistogram(FIRST_TOKEN_BUCKETS_S)
        self.gaps = IntHistogram(GAP_BUCKETS_S)

    def record_first_token(self, took_s: float) -> None:
        """Count a first token that was delivered after `took_s` seconds."""
        is_met = took_s <= self.targets.first_token_s
        self.tally_by_objective[Objective.FIRST_TOKEN].add(is_met)
        self.first_tokens.add(took_s)

    def record_gaps(self, gap_s: float, count: int = 1) -> None:
        """Count gaps of `gap_s` seconds between tokens."""
        self.tally_by_objective[Objective.GAP].add(gap_s <= self.targets.gap_s, count)
        self.gaps.add(gap_s, count)

    def record_ended(self, *, success: bool) -> None:
        """Count an accepted session that ended."""
        self.tally_by_objective[Objective.OUTCOME].add(success)

    def target_share(self, objective: Objective) -> float:
        """Return the share of an objective's events that has to meet the target."""
        return OUTCOME_SHARE if objective is Objective.OUTCOME else self.targets.share


class ServiceLevels(Collector):
    """The counts of all accounts, as a collector of the metrics registry."""

    def __init__(self) -> None:
        self.levels_by_account: dict[AccountId, AccountLevels] = {}

    def for_account(self, account: AccountId, targets: LevelTargets) -> AccountLevels:
        """Return an account's counts; events from now on are compared with `targets`."""
        levels = self.levels_by_account.get(account)
        if levels is None:
            levels = AccountLevels(targets)
            self.levels_by_account[account] = levels
        levels.targets = targets
        return levels

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics."""
        yield from self._tally_metrics()
        yield from self._target_metrics()
        yield from self._histogram_metrics()

    def _tally_metrics(self) -> Iterator[Metric]:
        labels = ["account", "objective"]
        events = CounterMetricFamily(EVENTS, "Service-level events.", labels=labels)
        good = CounterMetricFamily(GOOD, "Events that met their target.", labels=labels)
        for account, levels in self.levels_by_account.items():
            for objective, tally in levels.tally_by_objective.items():
                events.add_metric([account, objective.value], tally.total)
                good.add_metric([account, objective.value], tally.good)
        yield events
        yield good

    def _target_metrics(self) -> Iterator[Metric]:
        labels = ["account", "objective"]
        share = GaugeMetricFamily(TARGET_SHARE, "Share that has to be good.", labels=labels)
        seconds = GaugeMetricFamily(TARGET_SECONDS, "Target in seconds.", labels=labels)
        for account, levels in self.levels_by_account.items():
            for objective in Objective:
                share.add_metric([account, objective.value], levels.target_share(objective))
            targets = levels.targets
            seconds.add_metric([account, Objective.FIRST_TOKEN.value], targets.first_token_s)
            seconds.add_metric([account, Objective.GAP.value], targets.gap_s)
        yield share
        yield seconds

    def _histogram_metrics(self) -> Iterator[Metric]:
        first = HistogramMetricFamily(
            "egret_first_token_seconds",
            "Time from a request to its first token.",
            labels=["account"],
        )
        gap = HistogramMetricFamily(
            "egret_token_gap_seconds", "Time between the tokens of a session.", labels=["account"]
        )
        for account, levels in self.levels_by_account.items():
            levels.first_tokens.add_to(first, account)
            levels.gaps.add_to(gap, account)
        yield first
        yield gap
