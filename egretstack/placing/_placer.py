"""Chooses an engine, and one for a backup copy, for each generation of the fleet.

The home places for all with every run known. Any other instance does so for itself while the home
is silent, from the loads that the home last told.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from egretstack.fleet import Runner, RunnerTable
from egretstack.ids import InstanceId, RunnerId, ServiceName
from egretstack.messages import MessageError
from egretstack.placing._lengths import LengthForecast
from egretstack.placing._links import CopyLinks
from egretstack.placing._loads import EngineLoad, load_of, load_row
from egretstack.placing._run import Run, Work
from egretstack.routing import EnginePlan

PENDING_S = 1.0
"""How long a placement counts before its instance reports the run: several report periods."""
PREFILL_TOKENS_PER_S = 7_000.0
"""Rate at which an engine is taken to read prompts before any first token was timed."""
PREFILL_MEMORY = 0.9
"""Weight of what was learned in each update of that rate."""
GROWTH_TOKENS = 150
"""What a run is reckoned to grow by before another one on its engine ends."""
FULL_SHARE = 0.95
"""Part of an engine's memory that runs and copies may take; an engine that fills up preempts the
newest of its least urgent runs, in the middle of its stream."""
MEASURED_LIFE_S = 2.5
"""How long an engine's own figure counts: two readings and a half."""
WAITING_S = 0.3
"""How long work that waits counts after its last question; it asks every tenth of a second."""
COPY_SHARE = 0.65
"""Part of an engine's memory that runs and copies together may fill when a copy is added."""
COPIES_SHARE = 0.4
"""Part of an engine's memory that copies alone may take: on an engine that has just started, and
looks emptiest to all, they would leave no room for work."""
FLEET_COPY_SHARE = 0.6
"""Part of all engines' memory that runs and copies may take when a copy is added: what is left
is for new work, and for the runs of an engine that leaves."""
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
LINK_WEIGHT = 0.5
"""What a second of waiting for a link counts for, likewise."""
LINK_FREE_S = 0.05
"""Wait for a link up to which a copy that is only kept in case may begin."""
RETRY_LEAST_S = 0.3
RETRY_MOST_S = 2.0


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a generation runs, and where its memory is copied meanwhile."""

    runner: RunnerId
    backup: RunnerId | None


@dataclass(frozen=True, slots=True)
class PlaceRefused:
    """No engine has room for the generation now, or others go first."""

    retry_after_s: float
    """Forecast of when there is room."""


@dataclass(slots=True)
class _Pending:
    run: Run
    placement: Placement
    placed_s: float


@dataclass(slots=True)
class _Waiting:
    order: tuple[int, float]
    """Rank, then the time of the first question."""
    service: ServiceName
    asked_s: float


class Placer:
    """The runs of the fleet by engine, and the choice of the next engine."""

    def __init__(self, runners: RunnerTable, rng: random.Random) -> None:
        self._runners = runners
        self._rng = rng
        self._runs_by_instance: dict[InstanceId, list[Run]] = {}
        self._pending: dict[str, _Pending] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._booked_by_id: dict[RunnerId, float] = {}
        """What the book said when each engine was last measured."""
        self._unbooked_by_id: dict[RunnerId, tuple[float, float]] = {}
        self._told: dict[RunnerId, EngineLoad] = {}
        """Loads that another home told; used while the runs of others are not known here."""
        self._unread_until_s: dict[RunnerId, float] = {}
        self._prefill_per_s = PREFILL_TOKENS_PER_S
        self._lengths = LengthForecast()
        self._links = CopyLinks()

    def reported(self, instance: InstanceId, runs: list[Run]) -> None:
        """Take what an instance runs, in place of its earlier report."""
        going_on = {run.work.attempt for run in runs}
        for run in self._runs_by_instance.get(instance, ()):
            if run.work.attempt not in going_on and run.started:
                work = run.work
                self._lengths.finished(
                    work.service, work.max_output_tokens, work.length_hint, run.made_tokens
                )
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
        self._links.forget(set(self._runners.by_id))

    def told(self, now_s: float, rows: Iterable[object]) -> None:
        """Take the loads that the home tells. Raises MessageError."""
        try:
            self._told = dict(load_of(row, now_s) for row in rows)
        except TypeError as error:
            raise MessageError(f"not loads: {error}") from error

    def measured(self, now_s: float, runner_id: RunnerId, used_tokens: int) -> None:
        """Take what an engine itself says is in use, as of a moment ago.

        Copies stay for seconds after their run has moved on or was broken off. The book knows
        nothing of them, and an engine that looks free by the book lets what is sent there wait.
        """
        load = self.loads(now_s, whole=True).get(runner_id)
        if load is None:
            return
        booked = load.held_tokens + load.copy_tokens
        before = self._booked_by_id.get(runner_id, booked)
        self._booked_by_id[runner_id] = booked
        unbooked = max(0.0, used_tokens - max(booked, before))
        self._unbooked_by_id[runner_id] = (unbooked, now_s)

    def ended(self, attempt: str) -> None:
        """Note that a placement led to nothing, or is over."""
        self._waiting.pop(attempt, None)
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
                start.runs, start.held_tokens, start.copy_tokens, {}, start.unread_until_s
            )
        for run in self._known_runs(whole):
            self._add(loads, run)
        for runner_id, load in loads.items():
            unbooked, measured_s = self._unbooked_by_id.get(runner_id, (0.0, now_s))
            if whole and now_s - measured_s < MEASURED_LIFE_S:
                load.copy_tokens += unbooked
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
        if asked_before is not None and asked_before.run.runner not in work.excluded:
            return asked_before.placement
        loads = self.loads(now_s, whole=whole)
        candidates = [
            runner
            for runner in self._runners.ready(work.service)
            if runner.id not in work.excluded and runner.id in loads
        ]
        turn = self._is_turn(now_s, work) or self._is_short(work)
        fitting = self._fitting(now_s, work, engine, candidates, loads) if turn else []
        if not fitting:
            return PlaceRefused(self._room_after_s(now_s, candidates, loads))
        self._waiting.pop(work.attempt, None)
        chosen = self._best(now_s, engine, fitting, loads)
        backup = self._backup(now_s, work, engine, chosen, candidates, loads)
        return self._note(now_s, work, chosen, backup)

    def soon_tokens(self, run: Run) -> float:
        """Give the memory that a run takes now or soon.

        Runs end as others grow: memory summed over an engine's runs is highest about now, as long
        as nothing is added. What each may grow by before the next one ends is counted.
        """
        growth = min(GROWTH_TOKENS, self.tokens_left(run))
        return run.work.prompt_tokens + run.made_tokens + growth

    def tokens_left(self, run: Run) -> float:
        """Give the output that a run is still expected to make."""
        return self._expected(run.work, run.made_tokens) - run.made_tokens

    def destination(
        self, now_s: float, run: Run, engine: EnginePlan, *, whole: bool
    ) -> RunnerId | None:
        """Choose an engine to which a run can be copied, or None.

        A run whose runner leaves may take all the room there is; a copy that is only kept in case
        has to leave some.
        """
        leaving = not self._runners.is_ready(run.runner)
        limit = engine.kv_capacity_tokens * (FULL_SHARE if leaving else COPY_SHARE)
        loads = self.loads(now_s, whole=whole)
        source = self._runners.by_id.get(run.runner)
        rooms = []
        for runner in self._runners.ready(run.work.service):
            load = loads[runner.id]
            wait_s = self._links.wait_s(now_s, run.runner, runner.id)
            if runner.id == run.runner or load.runs >= engine.batch_slots:
                continue
            if self._taken(load) + self.soon_tokens(run) >= limit:
                continue
            if leaving or wait_s <= LINK_FREE_S:
                cost = self._copy_cost(engine, source, runner, load, wait_s)
                rooms.append((cost, self._rng.random(), runner.id))
        return min(rooms)[2] if rooms else None

    @staticmethod
    def _copy_cost(
        engine: EnginePlan, source: Runner | None, runner: Runner, load: EngineLoad, wait_s: float
    ) -> float:
        apart = source is not None and source.zone != runner.zone
        filled = load.filled(engine.kv_capacity_tokens)
        return filled + LINK_WEIGHT * wait_s + (OTHER_ZONE_SHARE if apart else 0.0)

    def move_run(
        self, now_s: float, attempt: str, runner_id: RunnerId, engine: EnginePlan
    ) -> RunnerId | None:
        """Note that a run goes on at another engine; choose where it is copied from now on."""
        run = self.run(attempt)
        runner = self._runners.by_id.get(runner_id)
        if run is None or runner is None:
            return None
        run.runner, run.backup = runner_id, None
        loads = self.loads(now_s, whole=True)
        ready = self._runners.ready(run.work.service)
        backup = self._backup(now_s, run.work, engine, runner, ready, loads)
        run.backup = None if backup is None else backup.id
        return run.backup

    def copying(
        self, now_s: float, attempt: str, destination_id: RunnerId, engine: EnginePlan
    ) -> None:
        """Note that a run is being copied to an engine."""
        run = self.run(attempt)
        source = None if run is None else self._runners.by_id.get(run.runner)
        destination = self._runners.by_id.get(destination_id)
        if source is None or destination is None:
            return
        if run.backup != destination_id:
            tokens = run.work.prompt_tokens + run.made_tokens
            self._links.begin(now_s, engine, source, destination, tokens)
        run.backup = destination_id

    def _is_turn(self, now_s: float, work: Work) -> bool:
        """Tell whether no other work that waits goes first."""
        for attempt in [one for one, it in self._waiting.items() if now_s - it.asked_s > WAITING_S]:
            del self._waiting[attempt]
        known = self._waiting.get(work.attempt)
        order = (work.rank, now_s) if known is None else known.order
        self._waiting[work.attempt] = _Waiting(order, work.service, now_s)
        return all(
            order <= other.order
            for other in self._waiting.values()
            if other.service == work.service
        )

    def _is_short(self, work: Work) -> bool:
        """Tell whether work is over before it could matter that others wait."""
        return self._expected(work, 0) < BACKUP_LEAST_TOKENS

    def _fitting(
        self,
        now_s: float,
        work: Work,
        engine: EnginePlan,
        candidates: list[Runner],
        loads: dict[RunnerId, EngineLoad],
    ) -> list[Runner]:
        """Give the engines with a free slot, room, and time to read the prompt."""
        need = work.prompt_tokens + min(GROWTH_TOKENS, self._expected(work, 0))
        fitting = []
        for runner in candidates:
            load = loads[runner.id]
            if load.runs >= min(engine.batch_slots, runner.slots):
                continue
            taken = self._taken(load)
            if taken and taken + need > FULL_SHARE * engine.kv_capacity_tokens:
                continue
            wait_s = max(0.0, load.unread_until_s - now_s)
            read_s = wait_s + work.prompt_tokens / self._prefill_per_s
            if read_s > work.patience_s:
                continue
            fitting.append(runner)
        return fitting

    def _best(
        self,
        now_s: float,
        engine: EnginePlan,
        fitting: list[Runner],
        loads: dict[RunnerId, EngineLoad],
    ) -> Runner:
        scored = []
        for runner in fitting:
            load = loads[runner.id]
            wait_s = max(0.0, load.unread_until_s - now_s)
            scored.append((self._score_s(engine, runner, load, wait_s), runner))
        best_s = min(score_s for score_s, _ in scored)
        return self._rng.choice([one for score_s, one in scored if score_s <= best_s + NEAR_S])

    @staticmethod
    def _room_after_s(
        now_s: float, candidates: list[Runner], loads: dict[RunnerId, EngineLoad]
    ) -> float:
        waits = [max(0.0, loads[runner.id].unread_until_s - now_s) for runner in candidates]
        return min(RETRY_MOST_S, max(RETRY_LEAST_S, min(waits, default=RETRY_MOST_S)))

    @staticmethod
    def _score_s(engine: EnginePlan, runner: Runner, load: EngineLoad, wait_s: float) -> float:
        memory_s = MEMORY_WEIGHT_S * load.filled(engine.kv_capacity_tokens)
        batch_s = BATCH_WEIGHT_S * load.runs / max(1, engine.batch_slots)
        cold_s = COLD_WEIGHT_S if runner.cold_s > 0 else 0.0
        return wait_s + memory_s + batch_s + cold_s

    def _backup(
        self,
        now_s: float,
        work: Work,
        engine: EnginePlan,
        chosen: Runner,
        candidates: list[Runner],
        loads: dict[RunnerId, EngineLoad],
    ) -> Runner | None:
        expected = self._expected(work, 0)
        if not engine.backups or expected < BACKUP_LEAST_TOKENS:
            return None
        need = work.prompt_tokens + expected
        capacity = engine.kv_capacity_tokens
        if not self._may_copy(engine, candidates, loads, need):
            return None
        rooms = []
        for runner in candidates:
            load = loads[runner.id]
            taken = self._taken(load)
            if runner.id == chosen.id or load.copy_tokens + need > COPIES_SHARE * capacity:
                continue
            if taken + need <= COPY_SHARE * capacity:
                wait_s = self._links.wait_s(now_s, chosen.id, runner.id)
                cost = self._copy_cost(engine, chosen, runner, load, wait_s)
                rooms.append((cost, self._rng.random(), runner))
        if not rooms:
            return None
        backup = min(rooms, key=lambda room: room[:2])[2]
        self._links.begin(now_s, engine, chosen, backup, work.prompt_tokens)
        return backup

    def _may_copy(
        self,
        engine: EnginePlan,
        candidates: list[Runner],
        loads: dict[RunnerId, EngineLoad],
        need: float,
    ) -> bool:
        """Tell whether memory is free enough, over all engines, to keep one more copy in case."""
        taken = sum(self._taken(loads[runner.id]) for runner in candidates)
        return taken + need <= FLEET_COPY_SHARE * engine.kv_capacity_tokens * len(candidates)

    def _note(self, now_s: float, work: Work, chosen: Runner, backup: Runner | None) -> Placement:
        placement = Placement(chosen.id, None if backup is None else backup.id)
        run = Run(work, placement.runner, placement.backup)
        self._pending[work.attempt] = _Pending(run, placement, now_s)
        begins_s = max(now_s, self._unread_until_s.get(chosen.id, 0.0))
        self._unread_until_s[chosen.id] = begins_s + work.prompt_tokens / self._prefill_per_s
        return placement

    def _known_runs(self, whole: bool) -> Iterable[Run]:
        if whole:
            for runs in self._runs_by_instance.values():
                yield from runs
        for pending in self._pending.values():
            yield pending.run

    def _expected(self, work: Work, made_tokens: int) -> float:
        return self._lengths.expected(
            work.service, work.max_output_tokens, work.length_hint, made_tokens
        )

    @staticmethod
    def _taken(load: EngineLoad) -> float:
        return load.held_tokens + load.copy_tokens

    def _add(self, loads: dict[RunnerId, EngineLoad], run: Run) -> None:
        soon = self.soon_tokens(run)
        load = loads.get(run.runner)
        if load is not None:
            load.runs += 1
            load.held_tokens += soon
            if not run.started:
                load.unread[run.work.attempt] = run.work.prompt_tokens
        copy = None if run.backup is None else loads.get(run.backup)
        if copy is not None:
            copy.copy_tokens += soon

    def _drop_old(self, now_s: float) -> None:
        old = [
            attempt for attempt, one in self._pending.items() if now_s - one.placed_s > PENDING_S
        ]
        for attempt in old:
            del self._pending[attempt]
