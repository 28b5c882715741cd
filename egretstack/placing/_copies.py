"""Where copies of runs' memory go, and whether any are made in case a runner is lost."""

import random

from egretstack.fleet import Runner, RunnerTable
from egretstack.ids import RunnerId, ServiceName
from egretstack.placing._demand import RecentDemand
from egretstack.placing._links import CopyLinks, copy_time_s
from egretstack.placing._loads import EngineLoad
from egretstack.placing._run import GenerationRequest, Run
from egretstack.placing._run_registry import Loads, RunRegistry
from egretstack.placing._send_bounds import SendBound
from egretstack.routing import EngineConfig

FULL_SHARE = 0.95
"""Part of an engine's memory that runs and copies may take; an engine that fills up preempts the
newest of its least urgent runs, in the middle of its stream."""
COPY_SHARE = 0.65
"""The same while a copy is added that is only kept in case."""
COPIES_SHARE = 0.4
"""Part of an engine's memory that copies alone may take: on an engine that has just started, and
looks emptiest to all, they would leave no room for work."""
FLEET_COPY_SHARE = 0.65
"""Part of all engines' memory that copies may fill beside what runs have needed lately; the rest
is for the runs of an engine that leaves, and for the next prompts.

Each copy also takes the links, which those runs need within their notice: with more copies, streams
of leaving engines are lost or late."""
SHORT_TOKENS = 64
"""Expected output up to which a run ends before a copy of it could be used."""
OTHER_ZONE_SHARE = 0.12
"""What another availability zone counts for where a copy goes, as a share of an engine's memory:
a copy across zones takes twice as long."""
LINK_WEIGHT = 0.5
"""What a second of waiting for a link counts for, likewise."""
FILLED_WEIGHT_S = 0.1
"""What a full engine counts for where a run goes whose runner leaves, in seconds of its copy."""
LINK_FREE_S = 0.05
"""Wait for a link up to which a copy that is only kept in case may begin."""


class CopyPlanner:
    """Chooses engines for copies; the caller notes what becomes of them in the book."""

    def __init__(
        self,
        book: RunRegistry,
        runners: RunnerTable,
        rng: random.Random,
        bounds: SendBound | None = None,
    ) -> None:
        self._book = book
        self._runners = runners
        self._bounds = bounds
        self._rng = rng
        self._links = CopyLinks()
        self._demand_by_service: dict[ServiceName, RecentDemand] = {}

    def note_demand(
        self, now_s: float, service: ServiceName, engine: EngineConfig, loads: Loads, waiting: float
    ) -> None:
        """Note the memory that runs need, on leaving engines too, and work that waits."""
        capacity = engine.kv_capacity_tokens * len(self._runners.ready(service))
        if not capacity:
            return
        held = sum(
            load.held_tokens
            for runner_id, load in loads.items()
            if self._runners.by_id[runner_id].service == service
        )
        self._demand(service).note(now_s, (held + waiting) / capacity)

    def backup(
        self,
        now_s: float,
        work: GenerationRequest,
        engine: EngineConfig,
        runner: Runner,
        loads: Loads,
    ) -> RunnerId | None:
        """Choose where a run is copied while it grows, or None."""
        expected = self._book.expected_output(work)
        need = work.prompt_tokens + expected
        if not engine.backups or expected < SHORT_TOKENS:
            return None
        if not self._may_copy(now_s, work.service, engine, loads, need):
            return None
        rooms = []
        for other in self._targets(work.service):
            load = loads.get(other.id)
            if load is None or other.id == runner.id or not work.may_run_in(other.zone):
                continue
            if self._has_room_in_case(engine, load, need):
                cost = self._cost(now_s, engine, runner, other, load)
                rooms.append((cost, self._rng.random(), other.id))
        if not rooms:
            return None
        chosen = self._runners.by_id[min(rooms)[2]]
        self._links.begin(now_s, engine, runner, chosen, work.prompt_tokens)
        return chosen.id

    def destination(
        self, now_s: float, run: Run, engine: EngineConfig, loads: Loads
    ) -> RunnerId | None:
        """Choose an engine to which a run's memory is copied now, or None.

        A run whose runner leaves may take all the room there is; a copy that is only kept in case
        has to leave some, and waits for free links.
        """
        leaving = not self._runners.is_ready(run.runner)
        source = self._runners.by_id.get(run.runner)
        need = self._book.forecast_tokens(run)
        if source is None:
            return None
        if not leaving and not self._may_copy(now_s, run.request.service, engine, loads, need):
            return None
        rooms = []
        for other in self._targets(run.request.service):
            load = loads.get(other.id)
            if load is None or other.id == run.runner or load.runs >= engine.batch_slots:
                continue
            if not run.request.may_run_in(other.zone):
                continue
            if leaving:
                fits = load.used_tokens + need <= FULL_SHARE * engine.kv_capacity_tokens
            else:
                free = self._links.wait_s(now_s, source.id, other.id) <= LINK_FREE_S
                fits = free and self._has_room_in_case(engine, load, need)
            if fits:
                cost = self._cost(now_s, engine, source, other, load)
                if leaving:
                    cost = self._time_cost_s(now_s, engine, source, other, load, need)
                rooms.append((cost, self._rng.random(), other.id))
        return min(rooms)[2] if rooms else None

    def begin(self, now_s: float, run: Run, destination_id: RunnerId, engine: EngineConfig) -> None:
        """Note that a run's memory is being copied to an engine."""
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
        self._links.forget(set(self._runners.by_id))

    def _targets(self, service: ServiceName) -> list[Runner]:
        """Give the engines that take what goes on there; all if none takes enough."""
        ready = self._runners.ready(service)
        if self._bounds is None:
            return ready
        return [one for one in ready if not self._bounds.is_rate_limited(one)] or ready

    def _may_copy(
        self, now_s: float, service: ServiceName, engine: EngineConfig, loads: Loads, need: float
    ) -> bool:
        """Tell whether runs leave enough memory, over all engines, for one more copy in case."""
        ready = self._runners.ready(service)
        copies = sum(loads[runner.id].copy_tokens for runner in ready if runner.id in loads)
        free_share = FLEET_COPY_SHARE - self._demand(service).peak_share(now_s)
        return copies + need <= free_share * engine.kv_capacity_tokens * len(ready)

    @staticmethod
    def _has_room_in_case(engine: EngineConfig, load: EngineLoad, need: float) -> bool:
        if load.copy_tokens + need > COPIES_SHARE * engine.kv_capacity_tokens:
            return False
        return load.used_tokens + need <= COPY_SHARE * engine.kv_capacity_tokens

    def _cost(
        self, now_s: float, engine: EngineConfig, source: Runner, other: Runner, load: EngineLoad
    ) -> float:
        filled = load.used_tokens / max(1, engine.kv_capacity_tokens)
        apart = OTHER_ZONE_SHARE if source.zone != other.zone else 0.0
        return filled + apart + LINK_WEIGHT * self._links.wait_s(now_s, source.id, other.id)

    def _time_cost_s(
        self,
        now_s: float,
        engine: EngineConfig,
        source: Runner,
        other: Runner,
        load: EngineLoad,
        tokens: float,
    ) -> float:
        """Give when a copy off a leaving runner would be whole, with a little for its room.

        Some five runs have to leave within some 1.5 s, one after another; in the same zone each
        takes half the time.
        """
        filled = load.used_tokens / max(1, engine.kv_capacity_tokens)
        copy_s = copy_time_s(engine, tokens, near=source.zone == other.zone)
        wait_s = self._links.wait_s(now_s, source.id, other.id)
        return wait_s + copy_s + FILLED_WEIGHT_S * filled

    def _demand(self, service: ServiceName) -> RecentDemand:
        return self._demand_by_service.setdefault(service, RecentDemand())
