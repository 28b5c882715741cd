"""Chooses an engine, and one for a backup copy, for each generation of the fleet.

The home places for all with every run known. Any other instance does so for itself while the home
is silent, from the loads that the home last told.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from egretstack.fleet import Runner, RunnerTable
from egretstack.ids import InstanceId, RunnerId
from egretstack.messages import MessageError
from egretstack.placing._loads import EngineLoad, load_of, load_row
from egretstack.placing._run import Run, Work
from egretstack.routing import EnginePlan

PENDING_S = 1.0
"""How long a placement counts before its instance reports the run: several report periods."""
PREFILL_TOKENS_PER_S = 7_000.0
"""Rate at which an engine is taken to read prompts before any first token was timed."""
PREFILL_MEMORY = 0.9
"""Weight of what was learned in each update of that rate."""
FULL_SHARE = 0.92
"""Part of an engine's memory that forecast peaks of runs may fill; lengths are estimates."""
COPY_SHARE = 0.85
"""Part of an engine's memory that runs and copies together may fill when a copy is added."""
BACKUP_LEAST_TOKENS = 64
"""Expected output from which a backup copy pays: a shorter run ends before it could move."""
MEMORY_WEIGHT_S = 0.6
"""What a full memory counts for, in seconds of waiting for the first token."""
BATCH_WEIGHT_S = 0.3
"""What a full batch counts for, likewise: each run lengthens the steps of all others."""
COLD_WEIGHT_S = 1.0
"""What a runner that has just started counts for, likewise."""
NEAR_S = 0.02
"""Choices whose scores differ by less are equal, and one is drawn."""
OTHER_ZONE_SHARE = 0.12
"""What another availability zone counts for where a copy goes, as a share of an engine's memory:
a copy across zones takes twice as long."""
RETRY_LEAST_S = 0.3
RETRY_MOST_S = 2.0


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a generation runs, and where its memory is copied meanwhile."""

    runner: RunnerId
    backup: RunnerId | None


@dataclass(frozen=True, slots=True)
class PlaceRefused:
    """No engine can start the generation in time; when to come back."""

    retry_after_s: float


@dataclass(slots=True)
class _Pending:
    run: Run
    placed_s: float


class Placer:
    """The runs of the fleet by engine, and the choice of the next engine."""

    def __init__(self, runners: RunnerTable, rng: random.Random) -> None:
        self._runners = runners
        self._rng = rng
        self._runs_by_instance: dict[InstanceId, list[Run]] = {}
        self._pending: dict[str, _Pending] = {}
        self._told: dict[RunnerId, EngineLoad] = {}
        """Loads that another home told; used while the runs of others are not known here."""
        self._unread_until_s: dict[RunnerId, float] = {}
        self._prefill_per_s = PREFILL_TOKENS_PER_S

    def reported(self, instance: InstanceId, runs: list[Run]) -> None:
        """Take what an instance runs, in place of its earlier report."""
        self._runs_by_instance[instance] = runs
        for run in runs:
            self._pending.pop(run.work.attempt, None)

    def run(self, attempt: str) -> Run | None:
        """Give a run that some instance reported."""
        for runs in self._runs_by_instance.values():
            for run in runs:
                if run.work.attempt == attempt:
                    return run
        return None

    def gone(self, live: Iterable[InstanceId]) -> None:
        """Forget the runs of instances that are not among the living."""
        kept = set(live)
        for instance in [one for one in self._runs_by_instance if one not in kept]:
            del self._runs_by_instance[instance]

    def told(self, now_s: float, rows: Iterable[object]) -> None:
        """Take the loads that the home tells. Raises MessageError."""
        try:
            self._told = dict(load_of(row, now_s) for row in rows)
        except TypeError as error:
            raise MessageError(f"not loads: {error}") from error

    def ended(self, attempt: str) -> None:
        """Note that a placement led to nothing, or is over."""
        self._pending.pop(attempt, None)

    def first_token(self, prompt_tokens: int, waited_s: float) -> None:
        """Learn how fast prompts are read, from a run that found none ahead of it."""
        if prompt_tokens < 500 or waited_s <= 0:
            return
        rate = prompt_tokens / waited_s
        self._prefill_per_s = PREFILL_MEMORY * self._prefill_per_s + (1 - PREFILL_MEMORY) * rate

    def loads(self, now_s: float, *, whole: bool) -> dict[RunnerId, EngineLoad]:
        """Give the load of each engine; `whole` if the runs of all instances are known here."""
        self._drop_old(now_s)
        loads: dict[RunnerId, EngineLoad] = {}
        for runner_id in self._runners.by_id:
            told = self._told.get(runner_id)
            start = EngineLoad() if whole or told is None else told
            loads[runner_id] = EngineLoad(
                start.runs, start.peak_tokens, start.copy_tokens, {}, start.unread_until_s
            )
        for run in self._known_runs(whole):
            self._add(loads, run)
        for runner_id, load in loads.items():
            until_s = self._unread_until_s.get(runner_id, 0.0)
            if load.unread or not whole:
                load.unread_until_s = max(load.unread_until_s, until_s)
        return loads

    def load_rows(self, now_s: float) -> list[list]:
        """Give the loads for a message to all."""
        loads = self.loads(now_s, whole=True)
        return [load_row(runner_id, load, now_s) for runner_id, load in loads.items()]

    def place(
        self, now_s: float, work: Work, engine: EnginePlan, *, whole: bool
    ) -> Placement | PlaceRefused:
        """Choose an engine for a generation, and note it as placed."""
        asked_before = self._pending.get(work.attempt)
        if asked_before is not None:
            return Placement(asked_before.run.runner, asked_before.run.backup)
        loads = self.loads(now_s, whole=whole)
        candidates = [
            runner
            for runner in self._runners.ready(work.service)
            if runner.id not in work.excluded and runner.id in loads
        ]
        chosen = self._choose(now_s, work, engine, candidates, loads)
        if isinstance(chosen, PlaceRefused):
            return chosen
        backup = self._backup(work, engine, chosen, candidates, loads)
        self._note(now_s, work, chosen, backup)
        return Placement(chosen.id, None if backup is None else backup.id)

    def destination(
        self, now_s: float, run: Run, engine: EnginePlan, *, whole: bool
    ) -> RunnerId | None:
        """Choose an engine to which a run can be copied, or None."""
        loads = self.loads(now_s, whole=whole)
        source = self._runners.by_id.get(run.runner)
        rooms = [
            (
                loads[runner.id].filled(engine.kv_capacity_tokens) + _distance(source, runner),
                self._rng.random(),
                runner.id,
            )
            for runner in self._runners.ready(run.work.service)
            if runner.id != run.runner
            and loads[runner.id].runs < engine.batch_slots
            and loads[runner.id].peak_tokens + run.peak_tokens() < engine.kv_capacity_tokens
        ]
        return min(rooms)[2] if rooms else None

    def backup_for(
        self, now_s: float, run: Run, engine: EnginePlan, *, whole: bool
    ) -> RunnerId | None:
        """Choose where a run that moved is copied from now on, or None."""
        loads = self.loads(now_s, whole=whole)
        ready = self._runners.ready(run.work.service)
        own = self._runners.by_id.get(run.runner)
        backup = self._backup(run.work, engine, own, ready, loads) if own else None
        return None if backup is None else backup.id

    def _choose(
        self,
        now_s: float,
        work: Work,
        engine: EnginePlan,
        candidates: list[Runner],
        loads: dict[RunnerId, EngineLoad],
    ) -> Runner | PlaceRefused:
        scored = []
        soonest_s = RETRY_MOST_S
        for runner in candidates:
            load = loads[runner.id]
            wait_s = max(0.0, load.unread_until_s - now_s)
            soonest_s = min(soonest_s, wait_s)
            if load.runs >= min(engine.batch_slots, runner.slots):
                continue
            need = work.prompt_tokens + work.expected_output()
            if load.runs and load.peak_tokens + need > FULL_SHARE * engine.kv_capacity_tokens:
                continue
            if wait_s + work.prompt_tokens / self._prefill_per_s > work.patience_s:
                continue
            scored.append((self._score_s(engine, runner, load, wait_s), runner))
        if not scored:
            return PlaceRefused(min(RETRY_MOST_S, max(RETRY_LEAST_S, soonest_s)))
        best_s = min(score_s for score_s, _ in scored)
        return self._rng.choice([one for score_s, one in scored if score_s <= best_s + NEAR_S])

    @staticmethod
    def _score_s(engine: EnginePlan, runner: Runner, load: EngineLoad, wait_s: float) -> float:
        memory_s = MEMORY_WEIGHT_S * load.filled(engine.kv_capacity_tokens)
        batch_s = BATCH_WEIGHT_S * load.runs / max(1, engine.batch_slots)
        cold_s = COLD_WEIGHT_S if runner.cold_s > 0 else 0.0
        return wait_s + memory_s + batch_s + cold_s

    def _backup(
        self,
        work: Work,
        engine: EnginePlan,
        chosen: Runner,
        candidates: list[Runner],
        loads: dict[RunnerId, EngineLoad],
    ) -> Runner | None:
        if not engine.backups or work.expected_output() < BACKUP_LEAST_TOKENS:
            return None
        need = work.prompt_tokens + work.expected_output()
        capacity = engine.kv_capacity_tokens
        rooms = []
        for runner in candidates:
            load = loads[runner.id]
            taken = load.peak_tokens + load.copy_tokens
            if runner.id != chosen.id and taken + need <= COPY_SHARE * capacity:
                cost = taken / capacity + _distance(chosen, runner)
                rooms.append((cost, self._rng.random(), runner))
        return min(rooms, key=lambda room: room[:2])[2] if rooms else None

    def _note(self, now_s: float, work: Work, chosen: Runner, backup: Runner | None) -> None:
        run = Run(work, chosen.id, None if backup is None else backup.id)
        self._pending[work.attempt] = _Pending(run, now_s)
        begins_s = max(now_s, self._unread_until_s.get(chosen.id, 0.0))
        self._unread_until_s[chosen.id] = begins_s + work.prompt_tokens / self._prefill_per_s

    def _known_runs(self, whole: bool) -> Iterable[Run]:
        if whole:
            for runs in self._runs_by_instance.values():
                yield from runs
        for pending in self._pending.values():
            yield pending.run

    @staticmethod
    def _add(loads: dict[RunnerId, EngineLoad], run: Run) -> None:
        peak = run.peak_tokens()
        load = loads.get(run.runner)
        if load is not None:
            load.runs += 1
            load.peak_tokens += peak
            if not run.started:
                load.unread[run.work.attempt] = run.work.prompt_tokens
        copy = None if run.backup is None else loads.get(run.backup)
        if copy is not None:
            copy.copy_tokens += peak

    def _drop_old(self, now_s: float) -> None:
        old = [
            attempt for attempt, one in self._pending.items() if now_s - one.placed_s > PENDING_S
        ]
        for attempt in old:
            del self._pending[attempt]


def _distance(source: Runner | None, runner: Runner) -> float:
    return 0.0 if source is None or source.zone == runner.zone else OTHER_ZONE_SHARE
