"""Forecasts when engines have room for the next requests of a kind. Does no I/O.

This answers a load that needs more memory than the engines have. A request that waits for room
which does not come in time costs its caller the time in which it could have tried elsewhere.

The expected lengths of runs are of no use for this: any run, however old, is expected to last some
seconds more, so nothing would seem to end within the next second. Each run is assumed to end at
another quantile of its length instead, which gives the right number of ends over the whole fleet.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from math import ceil, exp, log2

from egretstack.fleet import Runner, RunnerTable
from egretstack.ids import RunnerId, ServiceName
from egretstack.placing._copies import FULL_SHARE
from egretstack.placing._loads import EngineLoad
from egretstack.placing._run import GenerationRequest
from egretstack.placing._run_registry import GROWTH_TOKENS, RunRegistry
from egretstack.routing import EngineConfig

TOKEN_S = 0.009
"""Time per token of a stream on a typical engine."""
CACHE_S = 0.2
"""How long a forecast is used. It takes some 10 ms with 700 runs, and places that have passed since
are known to be used; with 30 places a second the error is a few of them."""
MAX_CACHED = 64
HORIZON_S = 14.0
"""How far ahead room is forecast: a third of the longest time that callers have."""
MAX_PLACES = 2_048
"""Places of one forecast; more are never waited for."""
USUAL_WAIT_SHARE = 0.75
"""Share of the longest useful wait that requests are assumed to have waited when they are placed.
Their prompt then still has to be processed in time."""
DECAY_S = 2.0
"""Time in which the prompts of more urgent ranks that were placed lose most of their weight."""
MAX_URGENT_SHARE = 0.9
"""Share of the prefill rate above which more urgent ranks are not assumed to take it."""
MAX_RATES = 64
GOLDEN_RATIO = 0.618033988749895
"""Multiples of it, modulo 1, are evenly spread whatever their number."""


@dataclass(frozen=True, slots=True)
class RoomNeeded:
    """What one request takes of an engine."""

    tokens: float
    """Memory that has to be free when it is placed."""
    context_tokens: int
    run_s: float
    """Time from the end of its prefill to its own end."""
    rank: int
    prefill_s: float
    """Time to process its prompt on a typical engine."""
    useful_wait_s: float
    """Longest wait after which it is in time, if it can be, or else served at all."""
    prefill_budget_s: float
    """Longest time in which its prompt has to be processed after such a wait."""

    @property
    def area(self) -> float:
        """Return its memory times its time, in token seconds."""
        return self.tokens * self.run_s


@dataclass(frozen=True, slots=True)
class _End:
    at_s: float
    tokens: float
    rank: int
    slots: int
    """1 for a run, 0 for a copy of one."""


@dataclass(slots=True)
class _Snapshot:
    """The engines at one time, with the forecast ends of all runs on them."""

    taken_s: float
    load_by_id: dict[RunnerId, EngineLoad]
    ends_by_id: dict[RunnerId, list[_End]] = field(default_factory=dict)


class CapacityForecast:
    """Forecasts places from the runs in the registry, without those who wait for one."""

    def __init__(self, registry: RunRegistry, runners: RunnerTable) -> None:
        self._registry = registry
        self._runners = runners
        self._snapshot_by_view: dict[bool, _Snapshot] = {}
        self._prompts_by_kind: dict[tuple[ServiceName, int], tuple[float, float]] = {}
        """Tokens of the prompts placed lately, with decay, and the time, by service and rank."""
        self._times_by_key: OrderedDict[tuple, tuple[float, list[float]]] = OrderedDict()

    def room_needed(self, request: GenerationRequest) -> RoomNeeded:
        """Return what a request takes of an engine."""
        output = self._registry.expected_new_output(request)
        prefill_s = request.context_tokens / self._registry.prefill_per_s
        useful_s = request.first_token_budget_s - prefill_s
        useful_s = min(request.max_wait_s, useful_s) if useful_s > 0.0 else request.max_wait_s
        return RoomNeeded(
            request.context_tokens + min(GROWTH_TOKENS, output),
            request.context_tokens,
            max(TOKEN_S, output * TOKEN_S),
            request.rank,
            prefill_s,
            useful_s,
            max(prefill_s, request.first_token_budget_s - USUAL_WAIT_SHARE * useful_s),
        )

    def place_times_s(
        self,
        now_s: float,
        request: GenerationRequest,
        engine: EngineConfig,
        *,
        full_share: float = FULL_SHARE,
        fleet_wide: bool = True,
    ) -> list[float] | None:
        """Return when there is room for the first, second, and so on of requests like this one.

        None if there is no engine that could run it. Requests of similar size get the same
        forecast. Room that runs of more urgent ranks leave is not counted, since the next
        requests of these ranks take it.
        """
        needed = self.room_needed(request)
        key = (*_kind(request, needed), full_share, fleet_wide)
        cached = self._times_by_key.get(key)
        if cached is not None and 0.0 <= now_s - cached[0] < CACHE_S:
            return cached[1]
        engines = self._engines(request)
        if not engines:
            return None
        snapshot = self._snapshot(now_s, fleet_wide)
        max_tokens = full_share * engine.kv_capacity_tokens
        prefill_per_s = self._prefill_per_s(now_s, request, len(engines))
        times = sorted(
            at_s
            for runner in engines
            for at_s in self._places(snapshot, runner, engine, needed, max_tokens, prefill_per_s)
        )[:MAX_PLACES]
        self._times_by_key[key] = (now_s, times)
        self._times_by_key.move_to_end(key)
        while len(self._times_by_key) > MAX_CACHED:
            self._times_by_key.popitem(last=False)
        return times

    def earliest_prefilled_s(self, now_s: float, request: GenerationRequest) -> float:
        """Return when an engine has processed all prompts sent to it, and one like this.

        A request that is late by then can't be in time any more, since other prompts only delay it.
        """
        loads = self._snapshot(now_s, True).load_by_id
        times = (
            max(now_s, loads[runner.id].prefilled_at_s)
            + self._registry.prefill_s(runner.id, request.context_tokens)
            for runner in self._engines(request)
            if runner.id in loads
        )
        return min(times, default=now_s)

    def record_placed(self, now_s: float, request: GenerationRequest) -> None:
        """Record that a request got a place, so that its prompt will be processed."""
        kind = (request.service, request.rank)
        if kind not in self._prompts_by_kind and len(self._prompts_by_kind) >= MAX_RATES:
            self._prompts_by_kind.clear()
        tokens = self._decayed_prompts(now_s, kind) + request.context_tokens
        self._prompts_by_kind[kind] = (tokens, now_s)

    def _decayed_prompts(self, now_s: float, kind: tuple[ServiceName, int]) -> float:
        tokens, at_s = self._prompts_by_kind.get(kind, (0.0, now_s))
        return tokens * exp(-max(0.0, now_s - at_s) / DECAY_S)

    def _prefill_per_s(self, now_s: float, request: GenerationRequest, engines: int) -> float:
        """Return the prefill rate of an engine that more urgent ranks leave."""
        per_s = self._registry.prefill_per_s
        tokens = sum(
            self._decayed_prompts(now_s, kind)
            for kind in self._prompts_by_kind
            if kind[0] == request.service and kind[1] < request.rank
        )
        return per_s * (1.0 - min(MAX_URGENT_SHARE, tokens / DECAY_S / engines / per_s))

    def displaced_tokens(self, service: ServiceName) -> float:
        """Return the memory of runs that have to move, since their engine leaves."""
        ready = {runner.id for runner in self._runners.ready(service)}
        return sum(
            self._registry.forecast_tokens(run)
            for run in self._registry.runs()
            if run.request.service == service
            and run.runner not in ready
            and run.runner in self._runners.by_id
        )

    def _engines(self, request: GenerationRequest) -> list[Runner]:
        ready = [
            runner
            for runner in self._runners.ready(request.service)
            if runner.id not in request.excluded and request.may_run_in(runner.zone)
        ]
        return [runner for runner in ready if runner.id not in self._runners.suspects] or ready

    def _snapshot(self, now_s: float, fleet_wide: bool) -> _Snapshot:
        snapshot = self._snapshot_by_view.get(fleet_wide)
        if snapshot is None or not 0.0 <= now_s - snapshot.taken_s < CACHE_S:
            snapshot = _Snapshot(now_s, self._registry.loads(now_s, fleet_wide=fleet_wide))
            self._add_ends(snapshot)
            self._snapshot_by_view[fleet_wide] = snapshot
        return snapshot

    def _add_ends(self, snapshot: _Snapshot) -> None:
        registry = self._registry
        for index, run in enumerate(registry.runs()):
            request = run.request
            length = registry.lengths.quantile(
                request.service,
                request.max_output_tokens,
                request.length_hint,
                run.generated_tokens,
                (index + 0.5) * GOLDEN_RATIO % 1.0,
            )
            step_s = TOKEN_S * registry.speeds.speed(run.runner).step_factor
            at_s = snapshot.taken_s + (length - run.generated_tokens) * step_s
            load = snapshot.load_by_id.get(run.runner)
            if load is not None and not run.started:
                at_s += load.prefill_wait_s(snapshot.taken_s)
            tokens = registry.forecast_tokens(run)
            ends = snapshot.ends_by_id
            ends.setdefault(run.runner, []).append(_End(at_s, tokens, request.rank, 1))
            if run.backup is not None:
                ends.setdefault(run.backup, []).append(_End(at_s, tokens, request.rank, 0))
        for ends in snapshot.ends_by_id.values():
            ends.sort(key=lambda end: end.at_s)

    def _places(
        self,
        snapshot: _Snapshot,
        runner: Runner,
        engine: EngineConfig,
        needed: RoomNeeded,
        max_tokens: float,
        prefill_per_s: float,
    ) -> Iterator[float]:
        """Return the times of the places on one engine, each used as soon as it is there."""
        load = snapshot.load_by_id.get(runner.id)
        if load is None:
            return
        speed = self._registry.speeds.speed(runner.id)
        prefill_s = needed.context_tokens / prefill_per_s * speed.prefill_factor
        run_s = needed.run_s * speed.step_factor
        backlog_s = needed.prefill_budget_s - needed.prefill_s
        at_s = snapshot.taken_s
        until_s, prefilled_at_s = at_s + HORIZON_S, load.prefilled_at_s
        free_tokens = max_tokens - load.used_tokens
        free_slots = min(engine.batch_slots, runner.slots) - load.runs
        ends = iter(
            end for end in snapshot.ends_by_id.get(runner.id, ()) if end.rank >= needed.rank
        )
        following, own_ends, own = next(ends, None), [], 0
        while at_s <= until_s:
            while free_slots > 0 and free_tokens >= needed.tokens:
                placed_s = max(at_s, prefilled_at_s - backlog_s)
                if placed_s > until_s:
                    return
                yield placed_s
                prefilled_at_s = max(placed_s, prefilled_at_s) + prefill_s
                own_ends.append(prefilled_at_s + run_s)
                free_tokens -= needed.tokens
                free_slots -= 1
            own_s = own_ends[own] if own < len(own_ends) else None
            if following is not None and (own_s is None or following.at_s <= own_s):
                at_s = following.at_s
                free_tokens += following.tokens
                free_slots += following.slots
                following = next(ends, None)
            elif own_s is not None:
                at_s = own_s
                free_tokens += needed.tokens
                free_slots += 1
                own += 1
            else:
                return


def _kind(request: GenerationRequest, needed: RoomNeeded) -> tuple:
    """Return what requests that get the same forecast have in common."""
    return (
        request.service,
        request.rank,
        round(4 * log2(max(1.0, needed.tokens))),
        round(4 * log2(max(TOKEN_S, needed.run_s))),
        ceil(2 * needed.prefill_budget_s),
        request.zones,
        request.excluded,
    )
