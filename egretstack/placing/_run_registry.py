"""The runs of the fleet by engine, and the load that follows from them.

The home knows every run by the reports of all instances, and what it has just placed. Any other
instance knows its own, on top of the loads that the home last told.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from egretstack.fleet import RunnerTable
from egretstack.ids import InstanceId, RunnerId
from egretstack.messages import MessageError
from egretstack.placing._lengths import LengthForecast
from egretstack.placing._loads import EngineLoad, load_from_row, load_row
from egretstack.placing._run import GenerationRequest, Placement, Run

PENDING_S = 1.0
"""How long a placement counts before its instance reports the run: several report periods."""
MEASURED_LIFE_S = 2.5
"""How long an engine's own figure counts: two readings and a half."""
GROWTH_TOKENS = 150
"""What a run is reckoned to grow by before another one on its engine ends."""
PREFILL_TOKENS_PER_S = 7_000.0
"""Rate at which an engine is taken to read prompts before any first token was timed."""
PREFILL_FASTER = 0.3
PREFILL_SLOWER = 0.03
"""How far one first token moves that rate. What waited behind others tells of a rate that is too
low; one that did not, of the rate itself."""
LEAST_TIMED_TOKENS = 500
"""Prompts from which the rate is learned; the overhead of shorter ones hides it."""

CROWDING_SHARE = 0.25
"""Share of all memory in use from which one client account may crowd out the others."""
CROWDING_TIMES = 2
"""And how many times an even share it has to be: with few accounts one of them often has a quarter.
With more than twice, half of the accounts without a run in progress would let the surge through.

For the load of one account that sends many times its usual. In the order of asking alone it takes
most of the room that comes free, and the generations of all others are refused after a wait."""

Loads = dict[RunnerId, EngineLoad]


@dataclass(slots=True)
class _Pending:
    run: Run
    placement: Placement
    placed_s: float


class RunRegistry:
    """What runs where."""

    def __init__(self, runners: RunnerTable) -> None:
        self.lengths = LengthForecast()
        self.prefill_per_s = PREFILL_TOKENS_PER_S
        self._runners = runners
        self._runs_by_instance: dict[InstanceId, list[Run]] = {}
        self._pending_by_attempt: dict[str, _Pending] = {}
        self._booked_by_id: dict[RunnerId, float] = {}
        """What the book said when each engine was last measured."""
        self._unbooked_by_id: dict[RunnerId, tuple[float, float]] = {}
        """Memory in use that the book did not explain, and when."""
        self._told: Loads = {}
        self._unread_until_s: dict[RunnerId, float] = {}

    def record_report(self, instance: InstanceId, runs: list[Run]) -> None:
        """Take what an instance runs, in place of its earlier report."""
        going_on = {run.request.attempt for run in runs}
        for run in self._runs_by_instance.get(instance, ()):
            if run.request.attempt not in going_on and run.started:
                work = run.request
                self.lengths.record_finished(
                    work.service, work.max_output_tokens, work.length_hint, run.generated_tokens
                )
        self._runs_by_instance[instance] = runs
        for run in runs:
            self._pending_by_attempt.pop(run.request.attempt, None)

    def retain_instances(self, live: Iterable[InstanceId]) -> None:
        """Forget the runs of instances that are not among the living."""
        kept = set(live)
        for instance in [one for one in self._runs_by_instance if one not in kept]:
            del self._runs_by_instance[instance]

    def update_loads(self, now_s: float, rows: Iterable[object]) -> None:
        """Take the loads of some engines that the home tells. Raises MessageError."""
        try:
            self._told.update(load_from_row(row, now_s) for row in rows)
        except TypeError as error:
            raise MessageError(f"not loads: {error}") from error
        for gone in self._told.keys() - self._runners.by_id.keys():
            del self._told[gone]

    def record_measured(self, now_s: float, runner_id: RunnerId, used_tokens: int) -> None:
        """Take what an engine itself says is in use, as of a moment ago.

        Copies stay for seconds after their run has moved on or was broken off. The book knows
        nothing of them, and an engine that looks free by the book lets what is sent there wait.
        """
        load = self.loads(now_s, fleet_wide=True).get(runner_id)
        if load is None:
            return
        booked = load.held_tokens + load.copy_tokens
        before = self._booked_by_id.get(runner_id, booked)
        self._booked_by_id[runner_id] = booked
        unbooked = max(0.0, used_tokens - max(booked, before))
        self._unbooked_by_id[runner_id] = (unbooked, now_s)

    def record_first_token(self, prompt_tokens: int, waited_s: float) -> None:
        """Learn how fast prompts are read, from the time between a send and its first token."""
        if prompt_tokens < LEAST_TIMED_TOKENS or waited_s <= 0:
            return
        rate = prompt_tokens / waited_s
        step = PREFILL_FASTER if rate > self.prefill_per_s else PREFILL_SLOWER
        self.prefill_per_s += step * (rate - self.prefill_per_s)

    def find_run(self, attempt: str) -> Run | None:
        """Give a run that some instance reported."""
        for runs in self._runs_by_instance.values():
            for run in runs:
                if run.request.attempt == attempt:
                    return run
        return None

    def recent_placement(self, work: GenerationRequest) -> Placement | None:
        """Give what was decided on a work a moment ago, unless that engine failed it since."""
        pending = self._pending_by_attempt.get(work.attempt)
        if pending is None or pending.run.runner in work.excluded:
            return None
        return pending.placement

    def record_placement(
        self, now_s: float, work: GenerationRequest, placement: Placement, loads: Loads
    ) -> None:
        """Note a placement, in the loads too."""
        run = Run(work, placement.runner, placement.backup)
        self._pending_by_attempt[work.attempt] = _Pending(run, placement, now_s)
        begins_s = max(now_s, self._unread_until_s.get(placement.runner, 0.0))
        until_s = begins_s + work.prompt_tokens / self.prefill_per_s
        self._unread_until_s[placement.runner] = until_s
        self._add(loads, run)
        loads[placement.runner].prefilled_at_s = until_s

    def forget_placement(self, attempt: str) -> None:
        """Note that a placement led to nothing, or is over."""
        self._pending_by_attempt.pop(attempt, None)

    def loads(self, now_s: float, *, fleet_wide: bool) -> Loads:
        """Give the load of each engine; `whole` if the runs of all instances are known here."""
        self._drop_old(now_s)
        loads = {
            runner_id: EngineLoad() if fleet_wide else self._told_load(runner_id)
            for runner_id in self._runners.by_id
        }
        for run in self._known_runs(fleet_wide):
            self._add(loads, run)
        for runner_id, load in loads.items():
            unbooked, measured_s = self._unbooked_by_id.get(runner_id, (0.0, now_s))
            if fleet_wide and now_s - measured_s < MEASURED_LIFE_S:
                load.copy_tokens += unbooked
            if load.pending_prefills or not fleet_wide:
                until_s = self._unread_until_s.get(runner_id, 0.0)
                load.prefilled_at_s = max(load.prefilled_at_s, until_s)
        return loads

    def crowding_accounts(self) -> frozenset[str]:
        """Give the client accounts whose runs leave too little to the others, while work waits."""
        held_by_account: dict[str, float] = {}
        for run in self._known_runs(True):
            account = run.request.account
            held_by_account[account] = held_by_account.get(account, 0.0) + self.forecast_tokens(run)
        if len(held_by_account) < 2:
            return frozenset()
        share = max(CROWDING_SHARE, CROWDING_TIMES / len(held_by_account))
        most = share * sum(held_by_account.values())
        return frozenset(one for one, held in held_by_account.items() if one and held > most)

    def load_rows(self, now_s: float) -> list[list]:
        """Give the loads for a message to all."""
        loads = self.loads(now_s, fleet_wide=True)
        return [load_row(runner_id, load, now_s) for runner_id, load in loads.items()]

    def expected_output(self, work: GenerationRequest, made_tokens: int = 0) -> float:
        """Give the output to reckon with, in all."""
        return self.lengths.expected(
            work.service, work.max_output_tokens, work.length_hint, made_tokens
        )

    def tokens_left(self, run: Run) -> float:
        """Give the output that a run is still expected to make."""
        return self.expected_output(run.request, run.generated_tokens) - run.generated_tokens

    def forecast_tokens(self, run: Run) -> float:
        """Give the memory that a run takes now or soon.

        Runs end as others grow: memory summed over an engine's runs is highest about now, as long
        as nothing is added. What each may grow by before the next one ends is counted.
        """
        growth = min(GROWTH_TOKENS, self.tokens_left(run))
        return run.request.prompt_tokens + run.generated_tokens + growth

    def _told_load(self, runner_id: RunnerId) -> EngineLoad:
        told = self._told.get(runner_id)
        if told is None:
            return EngineLoad()
        return EngineLoad(told.runs, told.held_tokens, told.copy_tokens, 0, told.prefilled_at_s)

    def _known_runs(self, whole: bool) -> Iterator[Run]:
        if whole:
            for runs in self._runs_by_instance.values():
                yield from runs
        for pending in self._pending_by_attempt.values():
            yield pending.run

    def _add(self, loads: Loads, run: Run) -> None:
        soon = self.forecast_tokens(run)
        load = loads.get(run.runner)
        if load is not None:
            load.runs += 1
            load.held_tokens += soon
            load.pending_prefills += not run.started
        copy = None if run.backup is None else loads.get(run.backup)
        if copy is not None:
            copy.copy_tokens += soon

    def _drop_old(self, now_s: float) -> None:
        pending = self._pending_by_attempt
        for attempt in [one for one, it in pending.items() if now_s - it.placed_s > PENDING_S]:
            del pending[attempt]
