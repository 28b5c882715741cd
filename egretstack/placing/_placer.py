"""Chooses an engine, and one for a backup copy, for each generation of the fleet.

The home places for all with every run known. Any other instance does so for itself while the home
is silent, from the loads that the home last told.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from egretstack.fleet import Runner, RunnerTable
from egretstack.ids import InstanceId, RunnerId
from egretstack.placing._copies import FULL_SHARE, SHORT_TOKENS, CopyPlanner
from egretstack.placing._loads import EngineLoad
from egretstack.placing._run import GenerationRequest, Placement, Run
from egretstack.placing._run_registry import GROWTH_TOKENS, Loads, RunRegistry
from egretstack.placing._send_bounds import SendBound, SendOrigin
from egretstack.placing._wait_list import Waiting, WaitList
from egretstack.routing import EngineConfig

MEMORY_WEIGHT_S = 0.6
"""What a full memory counts for, in seconds of waiting for the first token."""
BATCH_WEIGHT_S = 0.3
"""What a full batch counts for, likewise: each run lengthens the steps of all others."""
COLD_WEIGHT_S = 1.0
"""What a runner that has just started counts for, likewise."""
NEAR_S = 0.02
"""Choices whose scores differ by less are equal, and one is drawn."""
MAX_TRIED = 32
"""Works that are tried for room each time some may have come free."""
LATE_FULL_SHARE = 0.8
"""Part of an engine's memory up to which a generation that is late anyway is placed there. A long
run takes some 0.15 of an engine: what is beyond is for the next one that can be in time."""
LATE_READ_S = 2.0
"""Longest wait for its first token, in seconds, at which such a generation is placed all the same;
with the wait for room before it, its reader still gets it before it gives up."""
RETRY_LEAST_S = 0.3
RETRY_MOST_S = 2.0


@dataclass(frozen=True, slots=True)
class PlaceRefused:
    """No engine has room for the generation now, or others go first."""

    retry_after_s: float
    """Forecast of when there is room."""


@dataclass(frozen=True, slots=True)
class Placed:
    """A work that waited, and its place."""

    attempt: str
    placement: Placement


class Placer:
    """The choice of engines, over the book of runs."""

    def __init__(
        self, runners: RunnerTable, rng: random.Random, bounds: SendBound | None = None
    ) -> None:
        self.registry = RunRegistry(runners)
        self._runners = runners
        self._bounds = bounds
        """Bounds what engines get; None if nothing does."""
        self._rng = rng
        self._copies = CopyPlanner(self.registry, runners, rng, bounds)
        self._waiting = WaitList()

    def place(
        self, now_s: float, work: GenerationRequest, engine: EngineConfig, *, fleet_wide: bool
    ) -> Placement | PlaceRefused:
        """Choose an engine at once, whoever else waits, and note it."""
        before = self.registry.recent_placement(work)
        if before is not None:
            return before
        loads = self.registry.loads(now_s, fleet_wide=fleet_wide)
        part = SendOrigin.HOME if fleet_wide else SendOrigin.ALONE
        return self._place(now_s, work, engine, work.first_token_budget_s, loads, FULL_SHARE, part)

    def enqueue(self, now_s: float, work: GenerationRequest, engine: EngineConfig) -> None:
        """Let a work wait for room; `settle` tells when it has some."""
        self._waiting.ask(now_s, work, engine)

    def place_waiting(self, now_s: float) -> list[Placed]:
        """Place what waits, in its order, as far as there is room."""
        if not len(self._waiting):
            return []
        placed = []
        loads = self.registry.loads(now_s, fleet_wide=True)
        blocked = False
        crowding = self.registry.crowding_accounts()
        in_order = self._waiting.in_order(now_s, self.registry.prefill_per_s, crowding)
        for tried, one in enumerate(in_order):
            if tried == 0:
                self._copies.note_demand(
                    now_s, one.work.service, one.engine, loads, self._waiting.prompt_tokens()
                )
            if tried >= MAX_TRIED:
                break
            late = one.is_late(now_s, one.work.prompt_tokens / self.registry.prefill_per_s)
            # What follows may not take the room that the first in order waits for; what is short
            # gives it back before that matters.
            if blocked and (late or not self._is_short(one.work)):
                continue
            decided = self.registry.recent_placement(one.work) or self._place_queued(
                now_s, one, late, loads
            )
            if isinstance(decided, Placement):
                placed.append(Placed(one.work.attempt, decided))
            else:
                blocked = True
        for one in placed:
            self._waiting.placed(one.attempt)
        return placed

    def forecast_retry_s(self, now_s: float, work: GenerationRequest) -> float:
        """Forecast when a work that finds no room may come back."""
        loads = self.registry.loads(now_s, fleet_wide=True)
        waits = [loads[one.id].prefill_wait_s(now_s) for one in self._candidates(work, loads)]
        return min(RETRY_MOST_S, max(RETRY_LEAST_S, min(waits, default=RETRY_MOST_S)))

    def time_until_allowed_s(
        self, now_s: float, work: GenerationRequest, part: SendOrigin
    ) -> float:
        """Give when bounds let some engine take a work, after those that wait; 0 if now.

        Whether it has room is another matter.
        """
        engines = self._allowed(work)
        if self._bounds is None or not engines:
            return 0.0
        bounds = self._bounds
        if any(bounds.allows(now_s, one, part) for one in engines):
            return 0.0
        ahead = self._waiting.before(work) // len(engines)
        return min(bounds.time_until_allowed_s(now_s, one, part, ahead) for one in engines)

    def remove(self, attempt: str) -> None:
        """Note that a work has given up, or is over."""
        self._waiting.drop(attempt)
        self.registry.forget_placement(attempt)

    def retain_instances(self, live: Iterable[InstanceId]) -> None:
        """Forget what instances ran that are not among the living."""
        self.registry.retain_instances(live)
        self._copies.forget_removed()
        if self._bounds is not None:
            self._bounds.forget_removed()

    def move_run(
        self,
        now_s: float,
        attempt: str,
        runner_id: RunnerId,
        engine: EngineConfig,
        source_id: RunnerId | None = None,
    ) -> RunnerId | None:
        """Note that a run goes on at another engine; choose where it is copied from now on.

        Never at `source_id`, where it broke off: that engine may have ended.
        """
        run = self.registry.find_run(attempt)
        runner = self._runners.by_id.get(runner_id)
        if run is None or runner is None:
            return None
        self._note_sent(now_s, runner_id, SendOrigin.HOME)
        run.runner, run.backup = runner_id, None
        loads = self.registry.loads(now_s, fleet_wide=True)
        loads = {one: load for one, load in loads.items() if one != source_id}
        run.backup = self._copies.backup(now_s, run.request, engine, runner, loads)
        return run.backup

    def begin_copy(
        self,
        now_s: float,
        run: Run,
        engine: EngineConfig,
        refused: frozenset[RunnerId] = frozenset(),
    ) -> RunnerId | None:
        """Choose an engine to which a run is copied now, and note it; None if none has room.

        Those that have just `refused` the copy are passed over: what fills them is not in the book.
        """
        loads = self.registry.loads(now_s, fleet_wide=True)
        loads = {runner_id: load for runner_id, load in loads.items() if runner_id not in refused}
        destination = self._copies.destination(now_s, run, engine, loads)
        if destination is not None:
            self._copies.begin(now_s, run, destination, engine)
        return destination

    def _place_queued(
        self, now_s: float, one: Waiting, late: bool, loads: Loads
    ) -> Placement | PlaceRefused:
        patience_s = LATE_READ_S if late else one.in_time_until_s - now_s
        full_share = LATE_FULL_SHARE if late else FULL_SHARE
        return self._place(now_s, one.work, one.engine, patience_s, loads, full_share)

    def _place(
        self,
        now_s: float,
        work: GenerationRequest,
        engine: EngineConfig,
        patience_s: float,
        loads: Loads,
        full_share: float,
        part: SendOrigin = SendOrigin.HOME,
    ) -> Placement | PlaceRefused:
        room = full_share * engine.kv_capacity_tokens
        fitting = [
            runner
            for runner in self._candidates(work, loads)
            if self._fits(now_s, work, engine, patience_s, runner, loads[runner.id], room)
            and (self._bounds is None or self._bounds.allows(now_s, runner, part))
        ]
        if not fitting:
            return PlaceRefused(RETRY_LEAST_S)
        chosen = self._best(now_s, engine, fitting, loads)
        backup = self._copies.backup(now_s, work, engine, chosen, loads)
        placement = Placement(chosen.id, backup)
        self.registry.record_placement(now_s, work, placement, loads)
        self._note_sent(now_s, chosen.id, part)
        return placement

    def _note_sent(self, now_s: float, runner_id: RunnerId, part: SendOrigin) -> None:
        if self._bounds is not None:
            self._bounds.record_sent(now_s, runner_id, part)

    def _candidates(self, work: GenerationRequest, loads: Loads) -> list[Runner]:
        """Give the engines to choose from; a suspected one only if there is no other."""
        ready = [one for one in self._allowed(work) if one.id in loads]
        return [one for one in ready if one.id not in self._runners.suspects] or ready

    def _allowed(self, work: GenerationRequest) -> list[Runner]:
        """Give the engines that may run a work, whatever runs there."""
        return [
            runner
            for runner in self._runners.ready(work.service)
            if runner.id not in work.excluded and work.may_run_in(runner.zone)
        ]

    def _is_short(self, work: GenerationRequest) -> bool:
        return self.registry.expected_output(work) < SHORT_TOKENS

    def _fits(
        self,
        now_s: float,
        work: GenerationRequest,
        engine: EngineConfig,
        patience_s: float,
        runner: Runner,
        load: EngineLoad,
        room: float,
    ) -> bool:
        """Tell whether an engine has a slot, room, and time to read the prompt."""
        if load.runs >= min(engine.batch_slots, runner.slots):
            return False
        need = work.prompt_tokens + min(GROWTH_TOKENS, self.registry.expected_output(work))
        taken = load.used_tokens
        if taken and taken + need > room:
            return False
        return (
            load.prefill_wait_s(now_s) + work.prompt_tokens / self.registry.prefill_per_s
            <= patience_s
        )

    def _best(
        self, now_s: float, engine: EngineConfig, fitting: list[Runner], loads: Loads
    ) -> Runner:
        scored = [
            (self._score_s(now_s, engine, runner, loads[runner.id]), runner) for runner in fitting
        ]
        best_s = min(score_s for score_s, _ in scored)
        return self._rng.choice([one for score_s, one in scored if score_s <= best_s + NEAR_S])

    @staticmethod
    def _score_s(now_s: float, engine: EngineConfig, runner: Runner, load: EngineLoad) -> float:
        memory_s = MEMORY_WEIGHT_S * load.used_tokens / max(1, engine.kv_capacity_tokens)
        batch_s = BATCH_WEIGHT_S * load.runs / max(1, engine.batch_slots)
        cold_s = COLD_WEIGHT_S if runner.cold_s > 0 else 0.0
        return load.prefill_wait_s(now_s) + memory_s + batch_s + cold_s
