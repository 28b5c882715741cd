"""The runs of the fleet by engine, and the loads that follow from them.

The home knows every run from the reports of all instances, and what it has just placed. Any other
instance knows its own runs, in addition to the loads that the home last sent.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from egretstack.fleet import RunnerTable
from egretstack.ids import InstanceId, RunnerId
from egretstack.messages import MessageError
from egretstack.placing._engine_paces import EnginePaces
from egretstack.placing._engine_speeds import EngineSpeeds
from egretstack.placing._lengths import LengthForecast
from egretstack.placing._loads import EngineLoad, load_from_row, load_row
from egretstack.placing._prompt_forecasts import PromptForecasts
from egretstack.placing._run import SHORT_TOKENS, GenerationRequest, Placement, Run

PENDING_TTL_S = 1.0
"""How long a placement counts before its instance reports the run: several report periods."""
MEASUREMENT_TTL_S = 2.5
"""How long a memory use that an engine reported counts: two and a half report periods."""
GROWTH_TOKENS = 150
"""Expected growth of a run before another one on its engine ends."""
PREFILL_TOKENS_PER_S = 7_000.0
"""Assumed prefill rate of an engine before any first token was timed."""
PREFILL_RAISE_WEIGHT = 0.3
PREFILL_LOWER_WEIGHT = 0.03
"""Weight of one timed first token when it raises or lowers the estimated prefill rate. A prompt
that waited behind others shows a rate that is too low; one that did not shows the rate itself."""
MIN_TIMED_TOKENS = 500
"""Shortest prompt from which the prefill rate is learned; with shorter ones overhead dominates."""

CROWDING_SHARE = 0.25
"""Share of all used memory above which one client account may crowd out the others."""
CROWDING_FACTOR = 2
"""Multiple of the even share that such an account must also exceed. With few accounts one of them
often has a quarter. With a larger factor, a surge would get through whenever half of the accounts
have no run in progress.

This guards against one account that sends many times its usual load. In order of arrival alone it
would take most of the memory that is freed, and the generations of all other accounts would be
refused after a wait."""

LoadById = dict[RunnerId, EngineLoad]


@dataclass(slots=True)
class _Pending:
    run: Run
    placement: Placement
    placed_s: float


class RunRegistry:
    """Which run is on which engine."""

    def __init__(self, runners: RunnerTable) -> None:
        self.lengths = LengthForecast()
        self.speeds = EngineSpeeds()
        self.paces = EnginePaces()
        self.prompts = PromptForecasts()
        self.prefill_per_s = PREFILL_TOKENS_PER_S
        """Prefill rate of the typical engine."""
        self._runners = runners
        self._runs_by_instance: dict[InstanceId, list[Run]] = {}
        self._pending_by_attempt: dict[str, _Pending] = {}
        self._accounted_by_id: dict[RunnerId, float] = {}
        """Memory that the registry accounted for when each engine was last measured."""
        self._unaccounted_by_id: dict[RunnerId, tuple[float, float]] = {}
        """Memory in use that the registry did not account for, and when that was measured."""
        self._home_loads: LoadById = {}
        self._prefilled_at_s_by_id: dict[RunnerId, float] = {}

    def record_report(self, instance: InstanceId, runs: list[Run]) -> None:
        """Replace the runs of an instance by those that it reports."""
        in_progress = {run.request.attempt for run in runs}
        for run in self._runs_by_instance.get(instance, ()):
            if run.request.attempt not in in_progress and run.started:
                request = run.request
                self.lengths.record_finished(
                    request.service,
                    request.max_output_tokens,
                    request.length_hint,
                    run.generated_tokens,
                )
        self._runs_by_instance[instance] = runs
        for run in runs:
            pending = self._pending_by_attempt.get(run.request.attempt)
            # A resumed run is reported at its previous engine until it is sent to the new one.
            if pending is not None and run.runner not in pending.run.request.excluded:
                del self._pending_by_attempt[run.request.attempt]

    def retain_instances(self, live: Iterable[InstanceId]) -> None:
        """Forget the runs of instances that are not in `live`."""
        kept = set(live)
        for instance in [one for one in self._runs_by_instance if one not in kept]:
            del self._runs_by_instance[instance]

    def update_loads(self, now_s: float, rows: Iterable[object]) -> None:
        """Store the loads of some engines that the home sent. Raises MessageError."""
        try:
            self._home_loads.update(load_from_row(row, now_s) for row in rows)
        except TypeError as error:
            raise MessageError(f"not loads: {error}") from error
        for removed in self._home_loads.keys() - self._runners.by_id.keys():
            del self._home_loads[removed]

    def record_measured(self, now_s: float, runner_id: RunnerId, used_tokens: int) -> None:
        """Store the memory use that an engine reported a moment ago.

        Copies stay for seconds after their run has moved or was broken off. The registry does not
        know them, so a request would wait on an engine that looks free in the registry.
        """
        load = self.loads(now_s, fleet_wide=True).get(runner_id)
        if load is None:
            return
        accounted = load.held_tokens + load.copy_tokens
        before = self._accounted_by_id.get(runner_id, accounted)
        self._accounted_by_id[runner_id] = accounted
        unaccounted = max(0.0, used_tokens - max(accounted, before))
        self._unaccounted_by_id[runner_id] = (unaccounted, now_s)

    def prefill_s(self, runner_id: RunnerId, prompt_tokens: float) -> float:
        """Return how long an engine processes a prompt, with none before it."""
        factor = self.speeds.speed(runner_id).prefill_factor
        return prompt_tokens / self.prefill_per_s * factor

    def record_first_token(
        self, prompt_tokens: int, waited_s: float, runner_id: RunnerId | None = None
    ) -> None:
        """Learn the prefill rate from the time between sending a prompt and its first token.

        It is the rate of the typical engine; the time of one whose speed differs is converted.
        """
        if prompt_tokens < MIN_TIMED_TOKENS or waited_s <= 0:
            return
        factor = 1.0 if runner_id is None else self.speeds.speed(runner_id).prefill_factor
        rate = prompt_tokens / waited_s * factor
        step = PREFILL_RAISE_WEIGHT if rate > self.prefill_per_s else PREFILL_LOWER_WEIGHT
        self.prefill_per_s += step * (rate - self.prefill_per_s)

    def find_run(self, attempt: str) -> Run | None:
        """Return the run of an attempt that some instance reported; None if there is none."""
        for runs in self._runs_by_instance.values():
            for run in runs:
                if run.request.attempt == attempt:
                    return run
        return None

    def runs(self) -> Iterator[Run]:
        """Return the known runs of the fleet, including recent placements."""
        return self._known_runs(True)

    def recent_placement(self, request: GenerationRequest) -> Placement | None:
        """Return the last placement of a request, unless its engine has been excluded since."""
        pending = self._pending_by_attempt.get(request.attempt)
        if pending is None or pending.run.runner in request.excluded:
            return None
        return pending.placement

    def record_placement(
        self, now_s: float, request: GenerationRequest, placement: Placement, loads: LoadById
    ) -> None:
        """Record a placement, and add its run to `loads`."""
        run = Run(request, placement.runner, placement.backup, request.generated_tokens)
        self.prompts.record_placement(
            now_s,
            request.attempt,
            placement.runner,
            request.context_tokens,
            self.prefill_per_s,
            self.speeds.speed(placement.runner).prefill_factor,
            loads[placement.runner].runs,
        )
        self._pending_by_attempt[request.attempt] = _Pending(run, placement, now_s)
        start_s = max(now_s, self._prefilled_at_s_by_id.get(placement.runner, 0.0))
        until_s = start_s + self.prefill_s(placement.runner, request.context_tokens)
        self._prefilled_at_s_by_id[placement.runner] = until_s
        self._add(loads, run)
        loads[placement.runner].prefilled_at_s = until_s

    def forget_placement(self, attempt: str) -> None:
        """Forget a placement that was not used or has ended."""
        self._pending_by_attempt.pop(attempt, None)

    def loads(self, now_s: float, *, fleet_wide: bool) -> LoadById:
        """Return the load of each engine.

        With `fleet_wide` it is computed from the reported runs of all instances, otherwise from
        the loads that the home last sent. Recent placements are added in both cases.
        """
        self._drop_expired(now_s)
        loads = {
            runner_id: EngineLoad() if fleet_wide else self._home_load(runner_id)
            for runner_id in self._runners.by_id
        }
        for run in self._known_runs(fleet_wide):
            self._add(loads, run)
        for runner_id, load in loads.items():
            unaccounted, measured_s = self._unaccounted_by_id.get(runner_id, (0.0, now_s))
            if fleet_wide and now_s - measured_s < MEASUREMENT_TTL_S:
                load.copy_tokens += unaccounted
            if load.pending_prefills or not fleet_wide:
                until_s = self._prefilled_at_s_by_id.get(runner_id, 0.0)
                load.prefilled_at_s = max(load.prefilled_at_s, until_s)
        return loads

    def crowding_accounts(self) -> frozenset[str]:
        """Return the client accounts whose runs leave too little memory to the other accounts."""
        held_by_account: dict[str, float] = {}
        for run in self._known_runs(True):
            account = run.request.account
            held_by_account[account] = held_by_account.get(account, 0.0) + self.forecast_tokens(run)
        if len(held_by_account) < 2:
            return frozenset()
        share = max(CROWDING_SHARE, CROWDING_FACTOR / len(held_by_account))
        limit = share * sum(held_by_account.values())
        return frozenset(one for one, held in held_by_account.items() if one and held > limit)

    def load_rows(self, now_s: float) -> list[list]:
        """Return the rows of all loads for a message to all instances."""
        loads = self.loads(now_s, fleet_wide=True)
        differ = self.speeds.differ()
        return [
            load_row(runner_id, load, now_s, with_streams=differ)
            for runner_id, load in loads.items()
        ]

    def expected_output(self, request: GenerationRequest, generated_tokens: int = 0) -> float:
        """Return the expected length of a request's whole output, in tokens."""
        return self.lengths.expected(
            request.service,
            request.max_output_tokens,
            request.length_hint,
            max(generated_tokens, request.generated_tokens),
        )

    def expected_new_output(self, request: GenerationRequest) -> float:
        """Return how many tokens a request's next run is expected to generate."""
        return self.expected_output(request) - request.generated_tokens

    def tokens_left(self, run: Run) -> float:
        """Return how many more tokens a run is expected to generate."""
        return self.expected_output(run.request, run.generated_tokens) - run.generated_tokens

    def forecast_tokens(self, run: Run) -> float:
        """Return the memory, in tokens, that a run uses now or soon.

        Some runs end while others grow: as long as no run is added, the memory of all runs on an
        engine is highest about now. The growth of each run until the next one ends is included.
        """
        return _forecast_tokens(run, self.tokens_left(run))

    def _home_load(self, runner_id: RunnerId) -> EngineLoad:
        load = self._home_loads.get(runner_id)
        if load is None:
            return EngineLoad()
        return replace(load)

    def _known_runs(self, fleet_wide: bool) -> Iterator[Run]:
        if fleet_wide:
            for runs in self._runs_by_instance.values():
                yield from runs
        for pending in self._pending_by_attempt.values():
            yield pending.run

    def _add(self, loads: LoadById, run: Run) -> None:
        tokens_left = self.tokens_left(run)
        tokens = _forecast_tokens(run, tokens_left)
        load = loads.get(run.runner)
        if load is not None:
            load.runs += 1
            load.held_tokens += tokens
            load.pending_prefills += not run.started
            gap_target_s = run.request.gap_target_s
            if gap_target_s is not None and tokens_left >= SHORT_TOKENS:
                load.streams += 1
                load.gap_target_s = min(load.gap_target_s, gap_target_s)
        copy = None if run.backup is None else loads.get(run.backup)
        if copy is not None:
            copy.copy_tokens += tokens

    def _drop_expired(self, now_s: float) -> None:
        pending = self._pending_by_attempt
        for attempt in [one for one, it in pending.items() if now_s - it.placed_s > PENDING_TTL_S]:
            del pending[attempt]


def _forecast_tokens(run: Run, tokens_left: float) -> float:
    return run.request.prompt_tokens + run.generated_tokens + min(GROWTH_TOKENS, tokens_left)
