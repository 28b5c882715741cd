"""Memory, slots and prefill time that less urgent ranks leave free. Does no I/O.

This addresses a load in which urgent requests, with a second to start, compete for memory with long
ones that hold it for seconds. Rank alone decides only which of the waiting requests goes first: an
urgent one that arrives while long ones have just filled all engines waits until one of them ends.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import ceil, sqrt

from egretstack.fleet import Runner
from egretstack.ids import RunnerId, ServiceName
from egretstack.placing._loads import EngineLoad
from egretstack.placing._recent_rate import RecentRate
from egretstack.routing import EngineConfig

RECENT_S = 5.0
"""Time after the last urgent request at which nothing is left free for its rank any more."""
MAX_SHARE = 0.25
"""Share of all memory and slots that headroom may take: less urgent requests are served too."""
BURST_DEVIATIONS = 2.0
"""Standard deviations of the number of arrivals, at random times, that headroom includes."""
BURST_SHARE = 0.3
"""Share of their time to the first token in which urgent requests that came together have to find a
place: half of the time for which they may wait. Places that become free in it need no headroom."""
PREFILL_SHARE = 0.3
"""Share of the urgent ones' time to the first token for which a less urgent prompt may wait behind
others on an engine. It is a little less than the wait of urgent prompts there (1 - WAIT_SHARE,
without their own processing), so that prompts of urgent ones that arrive together find engines."""
AVERAGE_WEIGHT = 0.1
"""Weight of one request in the average sizes and times; about the last ten determine them."""
MIN_TIMED_PER_S = 1.0
"""Rate of placements from which the time on the engine follows from the runs in progress."""
MAX_KINDS = 256
"""Services and ranks that are remembered."""

RequestKind = tuple[ServiceName, int]


@dataclass(slots=True)
class _Demand:
    """What recent requests of one service and rank need."""

    tokens: float
    time_s: float
    """Forecast time of one request on an engine."""
    budget_s: float
    """Time until its first token is late."""
    arrived_s: float
    arrivals: RecentRate = field(default_factory=RecentRate)
    placements: RecentRate = field(default_factory=RecentRate)
    running_s: RecentRate = field(default_factory=RecentRate)
    """Runs in progress x time, whose rate is the average number of runs."""
    running: int = 0

    def count(self, now_s: float) -> float:
        """Return how many requests would be in progress if each were placed at once."""
        placed_per_s = self.placements.per_s(now_s)
        time_s = self.time_s
        if placed_per_s >= MIN_TIMED_PER_S:
            # Little's law, by the same averages; it includes waiting for other prompts.
            time_s = max(time_s, self.running_s.per_s(now_s) / placed_per_s)
        return self.arrivals.per_s(now_s) * time_s

    def burst(self, now_s: float) -> float:
        """Return by how many requests a burst may exceed those that usually come."""
        return BURST_DEVIATIONS * sqrt(BURST_SHARE * self.budget_s * self.arrivals.per_s(now_s))

    def ends_per_s(self, now_s: float) -> float:
        """Return a low estimate of how many of its runs end each second."""
        return min(self.placements.per_s(now_s), self.running / max(1e-3, self.time_s))


@dataclass(frozen=True, slots=True)
class Reserve:
    """What requests of some rank leave free for the more urgent ones."""

    places: int
    """Requests for which memory and a slot stay free."""
    place_tokens: float
    """Memory of one of them."""
    prefill_s: float
    """Longest wait of a less urgent prompt behind others on an engine."""
    held_tokens: float
    """Memory of the runs in progress of the more urgent ranks."""


class Headroom:
    """Estimates the demand of each rank, and the reserve that less urgent ranks keep for it."""

    def __init__(self) -> None:
        self._demand_by_kind: dict[RequestKind, _Demand] = {}
        self._counted_s: float | None = None

    def record_arrival(
        self, now_s: float, kind: RequestKind, tokens: float, time_s: float, budget_s: float
    ) -> None:
        """Record the first attempt of a request, with its memory and its forecast time."""
        demand = self._demand_by_kind.get(kind)
        if demand is None:
            if len(self._demand_by_kind) >= MAX_KINDS:
                self._demand_by_kind.pop(next(iter(self._demand_by_kind)))
            demand = self._demand_by_kind[kind] = _Demand(tokens, time_s, budget_s, now_s)
        demand.tokens += AVERAGE_WEIGHT * (tokens - demand.tokens)
        demand.time_s += AVERAGE_WEIGHT * (time_s - demand.time_s)
        demand.budget_s += AVERAGE_WEIGHT * (budget_s - demand.budget_s)
        demand.arrived_s = now_s
        demand.arrivals.add(now_s)

    def record_placed(self, now_s: float, kind: RequestKind) -> None:
        """Record that a request got a place."""
        demand = self._demand_by_kind.get(kind)
        if demand is not None:
            demand.placements.add(now_s)
            demand.running += 1

    def record_running(self, now_s: float, running_by_kind: Mapping[RequestKind, int]) -> None:
        """Record how many runs are in progress."""
        passed_s = 0.0 if self._counted_s is None else now_s - self._counted_s
        self._counted_s = now_s
        for kind, demand in self._demand_by_kind.items():
            demand.running = running_by_kind.get(kind, 0)
            demand.running_s.add(now_s, demand.running * min(passed_s, 1.0))

    def reserve(self, now_s: float, kind: RequestKind) -> Reserve | None:
        """Return what a request leaves free; None without recent more urgent requests."""
        service, rank = kind
        recent = {
            other: demand
            for (one, other), demand in self._demand_by_kind.items()
            if one == service and now_s - demand.arrived_s <= RECENT_S
        }
        urgent = [demand for other, demand in recent.items() if other < rank]
        if not urgent:
            return None
        counts = [demand.count(now_s) for demand in urgent]
        count = sum(counts)
        tokens = sum(n * it.tokens for n, it in zip(counts, urgent, strict=True)) / max(count, 1e-9)
        budget_s = min(demand.budget_s for demand in urgent)
        # Runs of urgent requests end as often as others come; those of the rest are in addition.
        ends_per_s = sum(it.ends_per_s(now_s) for other, it in recent.items() if other >= rank)
        burst = sum(it.burst(now_s) for it in urgent) - BURST_SHARE * budget_s * ends_per_s
        growth = count - sum(demand.running for demand in urgent)
        places = ceil(max(0.0, growth) + max(0.0, burst))
        held = sum(demand.running * demand.tokens for demand in urgent)
        return Reserve(places, max(1.0, tokens), PREFILL_SHARE * budget_s, held)

    def ranks(self, now_s: float, service: ServiceName) -> list[int]:
        """Return the ranks of a service with recent requests, the most urgent first."""
        return sorted(
            rank
            for (one, rank), demand in self._demand_by_kind.items()
            if one == service and now_s - demand.arrived_s <= RECENT_S
        )

    def services(self, now_s: float) -> set[ServiceName]:
        """Return the services of which requests of several ranks came recently."""
        known = {service for service, _ in self._demand_by_kind}
        return {service for service in known if len(self.ranks(now_s, service)) > 1}


def admissible(
    reserve: Reserve,
    needed_tokens: float,
    full_share: float,
    engine: EngineConfig,
    runners: list[Runner],
    loads: Mapping[RunnerId, EngineLoad],
) -> set[RunnerId]:
    """Return the engines on which a run of `needed_tokens` leaves the reserve free.

    Memory counts only in whole places: what is left in pieces on many engines serves nobody.
    """
    max_tokens = full_share * engine.kv_capacity_tokens

    def places(runner: Runner, load: EngineLoad, runs: int = 0, tokens: float = 0.0) -> int:
        slots = min(engine.batch_slots, runner.slots) - load.runs - runs
        memory = max_tokens - load.used_tokens - tokens
        return max(0, min(slots, int(memory // reserve.place_tokens)))

    known = [(runner, loads[runner.id]) for runner in runners if runner.id in loads]
    before = {runner.id: places(runner, load) for runner, load in known}
    kept = capped_places(reserve, engine, [runner for runner, _ in known])
    spare = max(0, sum(before.values()) - kept)
    return {
        runner.id
        for runner, load in known
        if before[runner.id] - places(runner, load, 1, needed_tokens) <= spare
    }


def capped_places(reserve: Reserve, engine: EngineConfig, runners: list[Runner]) -> int:
    """Return the places of a reserve, at most MAX_SHARE of the memory and slots."""
    memory = len(runners) * engine.kv_capacity_tokens / reserve.place_tokens
    slots = sum(min(engine.batch_slots, runner.slots) for runner in runners)
    return min(reserve.places, int(MAX_SHARE * min(memory, slots)))
