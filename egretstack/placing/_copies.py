"""Chooses where the memory of runs is copied, and whether backup copies are made.

A backup copy is kept in case the runner of a run is lost.
"""

import random

from egretstack.fleet import Runner, RunnerTable
from egretstack.ids import RunnerId, ServiceName
from egretstack.placing._demand import RecentDemand
from egretstack.placing._latency_forecast import keeps_target, pacing_speed
from egretstack.placing._links import CopyLinks, copy_time_s
from egretstack.placing._loads import EngineLoad
from egretstack.placing._run import SHORT_TOKENS, GenerationRequest, Run
from egretstack.placing._run_registry import LoadById, RunRegistry
from egretstack.placing._send_bounds import SendBound
from egretstack.routing import EngineConfig

FULL_SHARE = 0.95
"""Share of an engine's memory that runs and copies may use; an engine that runs out of memory
preempts the newest of its least urgent runs, in the middle of its stream."""
LATE_FULL_SHARE = 0.8
"""The same limit for a generation that is late anyway. A long run uses some 0.15 of an engine: the
rest is for the next one that can be in time."""
BACKUP_FULL_SHARE = 0.65
"""The same limit when a backup copy is added."""
BACKUP_SHARE = 0.4
"""Share of an engine's memory that copies alone may use: on an engine that has just started, and so
looks emptiest to every run, they would leave no memory for requests."""
FLEET_BACKUP_SHARE = 0.65
"""Share of all engines' memory that copies and the recent demand of runs may fill together; the
rest is for the runs of an engine that leaves, and for the next prompts.

Each copy also uses the links, which the runs of a leaving engine need within its notice: with more
copies, their streams are lost or late."""
OTHER_ZONE_SHARE = 0.12
"""Cost of a copy to another availability zone, as a share of an engine's memory: it takes twice as
long."""
LINK_WEIGHT = 0.5
"""Cost of each second of waiting for a link, in the same unit."""
FILLED_WEIGHT_S = 0.1
"""Cost of a full engine for a run whose runner leaves, in seconds of its copy."""
LEAVING_NOTICE_S = 1.5
"""Time of a copy off a leaving engine from which its run is likely lost, which is worse than pauses
above its target."""
LINK_FREE_S = 0.05
"""Wait for a link up to which a backup copy may start."""


class CopyPlanner:
    """Chooses engines for copies; the caller records the results in the registry."""

    def __init__(
        self,
        registry: RunRegistry,
        runners: RunnerTable,
        rng: random.Random,
        bounds: SendBound | None = None,
    ) -> None:
        self._registry = registry
        self._runners = runners
        self._bounds = bounds
        self._rng = rng
        self._links = CopyLinks()
        self._demand_by_service: dict[ServiceName, RecentDemand] = {}

    def record_demand(
        self,
        now_s: float,
        service: ServiceName,
        engine: EngineConfig,
        loads: LoadById,
        waiting: float,
    ) -> None:
        """Record the memory needed by runs, also on leaving engines, and by waiting requests."""
        capacity = engine.kv_capacity_tokens * len(self._runners.ready(service))
        if not capacity:
            return
        held = sum(
            load.held_tokens
            for runner_id, load in loads.items()
            if self._runners.by_id[runner_id].service == service
        )
        self._demand(service).record(now_s, (held + waiting) / capacity)

    def backup(
        self,
        now_s: float,
        request: GenerationRequest,
        engine: EngineConfig,
        runner: Runner,
        loads: LoadById,
    ) -> RunnerId | None:
        """Choose an engine for the backup copy of a run that starts; None for no copy."""
        expected = self._registry.expected_output(request)
        needed_tokens = request.prompt_tokens + expected
        if not engine.backups or expected - request.generated_tokens < SHORT_TOKENS:
            return None
        if not self._may_copy(now_s, request.service, engine, loads, needed_tokens):
            return None
        candidates = []
        for other in self._targets(request.service):
            load = loads.get(other.id)
            if load is None or other.id == runner.id or not request.may_run_in(other.zone):
                continue
            if self._has_backup_memory(engine, load, needed_tokens):
                breaks = self._breaks(request, engine, other, load, expected)
                cost = self._cost(now_s, engine, runner, other, load)
                candidates.append((breaks, cost, self._rng.random(), other.id))
        if not candidates:
            return None
        chosen = self._runners.by_id[min(candidates)[-1]]
        self._links.begin(now_s, engine, runner, chosen, request.context_tokens)
        return chosen.id

    def destination(
        self, now_s: float, run: Run, engine: EngineConfig, loads: LoadById
    ) -> RunnerId | None:
        """Choose an engine to which a run's memory is copied now; None if there is none.

        The run of a leaving runner may use all free memory; a backup copy has to leave some of it,
        and starts only if the links are free. Engines where its pauses would exceed its target are
        used only if no other has room, even if the copy takes longer.
        """
        leaving = not self._runners.is_ready(run.runner)
        source = self._runners.by_id.get(run.runner)
        needed_tokens = self._registry.forecast_tokens(run)
        tokens_left = self._registry.tokens_left(run)
        if source is None:
            return None
        if not leaving and not self._may_copy(
            now_s, run.request.service, engine, loads, needed_tokens
        ):
            return None
        candidates = []
        for other in self._targets(run.request.service):
            load = loads.get(other.id)
            if load is None or other.id == run.runner or load.runs >= engine.batch_slots:
                continue
            if not run.request.may_run_in(other.zone):
                continue
            if leaving:
                fits = load.used_tokens + needed_tokens <= FULL_SHARE * engine.kv_capacity_tokens
            else:
                free = self._links.wait_s(now_s, source.id, other.id) <= LINK_FREE_S
                fits = free and self._has_backup_memory(engine, load, needed_tokens)
            if fits:
                cost = self._cost(now_s, engine, source, other, load)
                if leaving:
                    cost = self._time_cost_s(now_s, engine, source, other, load, needed_tokens)
                breaks = self._breaks(run.request, engine, other, load, tokens_left)
                breaks = breaks or (leaving and cost > LEAVING_NOTICE_S)
                candidates.append((breaks, cost, self._rng.random(), other.id))
        return min(candidates)[-1] if candidates else None

    def begin(self, now_s: float, run: Run, destination_id: RunnerId, engine: EngineConfig) -> None:
        """Record that a run's memory is being copied to an engine."""
        source = self._runners.by_id.get(run.runner)
        destination = self._runners.by_id.get(destination_id)
        if source is None or destination is None:
            return
        if run.backup != destination_id:
            tokens = run.request.prompt_tokens + run.generated_tokens
            self._links.begin(now_s, engine, source, destination, tokens)
        run.backup = destination_id

    def forget_removed(self) -> None:
        """Forget engines that are no longer known."""
        self._links.retain(set(self._runners.by_id))

    def _targets(self, service: ServiceName) -> list[Runner]:
        """Return the engines without a rate limit, or all engines if each has one."""
        ready = self._runners.ready(service)
        if self._bounds is None:
            return ready
        return [one for one in ready if not self._bounds.is_rate_limited(one)] or ready

    def _breaks(
        self,
        request: GenerationRequest,
        engine: EngineConfig,
        other: Runner,
        load: EngineLoad,
        tokens_left: float,
    ) -> bool:
        """Return whether a long run's pauses would exceed its target on an engine."""
        speeds = self._registry.speeds
        if not speeds.differ() or tokens_left < SHORT_TOKENS:
            return False
        speed = pacing_speed(speeds, engine, other)
        return not keeps_target(engine, speed, load.runs + 1, request.gap_target_s)

    def _may_copy(
        self,
        now_s: float,
        service: ServiceName,
        engine: EngineConfig,
        loads: LoadById,
        needed_tokens: float,
    ) -> bool:
        """Return whether runs leave enough memory, over all engines, for one more backup copy."""
        ready = self._runners.ready(service)
        copies = sum(loads[runner.id].copy_tokens for runner in ready if runner.id in loads)
        free_share = FLEET_BACKUP_SHARE - self._demand(service).peak_share(now_s)
        return copies + needed_tokens <= free_share * engine.kv_capacity_tokens * len(ready)

    @staticmethod
    def _has_backup_memory(engine: EngineConfig, load: EngineLoad, needed_tokens: float) -> bool:
        if load.copy_tokens + needed_tokens > BACKUP_SHARE * engine.kv_capacity_tokens:
            return False
        return load.used_tokens + needed_tokens <= BACKUP_FULL_SHARE * engine.kv_capacity_tokens

    def _cost(
        self, now_s: float, engine: EngineConfig, source: Runner, other: Runner, load: EngineLoad
    ) -> float:
        filled = load.used_tokens / max(1, engine.kv_capacity_tokens)
        other_zone = OTHER_ZONE_SHARE if source.zone != other.zone else 0.0
        return filled + other_zone + LINK_WEIGHT * self._links.wait_s(now_s, source.id, other.id)

    def _time_cost_s(
        self,
        now_s: float,
        engine: EngineConfig,
        source: Runner,
        other: Runner,
        load: EngineLoad,
        tokens: float,
    ) -> float:
        """Return how long a copy off a leaving runner takes, plus a little for a filled target.

        About five runs have to leave within about 1.5 s, one after another; in the same zone each
        takes half the time.
        """
        filled = load.used_tokens / max(1, engine.kv_capacity_tokens)
        copy_s = copy_time_s(engine, tokens, near=source.zone == other.zone)
        wait_s = self._links.wait_s(now_s, source.id, other.id)
        return wait_s + copy_s + FILLED_WEIGHT_S * filled

    def _demand(self, service: ServiceName) -> RecentDemand:
        return self._demand_by_service.setdefault(service, RecentDemand())
