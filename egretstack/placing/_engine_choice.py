"""Chooses one of the engines that have capacity for a generation."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from egretstack.fleet import Runner
from egretstack.placing._engine_speeds import TYPICAL
from egretstack.placing._latency_forecast import (
    STALL_FACTOR,
    Latency,
    keeps_target,
    late_share,
    miss_share,
    output_s,
    pacing_speed,
    pause_s,
    streams_missed,
)
from egretstack.placing._run import SHORT_TOKENS, GenerationRequest
from egretstack.placing._run_registry import GROWTH_TOKENS, LoadById, RunRegistry
from egretstack.routing import EngineConfig

MEMORY_WEIGHT_S = 0.6
"""Cost of a full memory, in seconds of waiting for the first token."""
BATCH_WEIGHT_S = 0.3
"""Cost of a full batch, in the same unit: each run lengthens the steps of all others."""
COLD_WEIGHT_S = 1.0
"""Cost of a runner that has just started, in the same unit."""
NEAR_S = 0.02
"""Engines whose scores differ by less count as equal, and one of them is drawn at random."""

MISS_WEIGHT_S = 3.0
"""Cost of a late first token or of a stream with a pause above its target, in the same unit: more
than the longest wait in time, a full memory and a full batch cost together."""
LIKELY_MISSED = 0.5
"""Expected number of missed targets from which a placement counts as beyond them."""
KEEP_FREE_SHARE = 0.3
"""Share of the engines fit for long streams that is kept free of other runs while engines that are
not fit can take these in time. A long run uses some 0.15 of an engine: each has room for two more.
With a larger share the prompts of short runs collect on the slow engines and are late."""
KEEP_WEIGHT_S = 1.5
"""Cost of such an engine for other runs when none of that share is free, in the same unit: less
than a late first token, and more than a slow engine takes longer for a prompt."""


@dataclass(frozen=True, slots=True)
class Choice:
    """A generation to be placed, and what its engine must keep to."""

    now_s: float
    request: GenerationRequest
    engine: EngineConfig
    prefill_budget_s: float
    """Longest time until the prompt is processed."""
    max_tokens: float
    """Memory that runs and copies may use on its engine."""
    loads: LoadById


class EngineChoice:
    """Selects the engines that fit a generation, and draws one of the best of them."""

    def __init__(self, registry: RunRegistry, rng: random.Random) -> None:
        self._registry = registry
        self._rng = rng

    def fitting(self, choice: Choice, candidates: Iterable[Runner]) -> list[Runner]:
        """Return the engines with a slot, memory, and time to process the prompt.

        If no engine has the time, it is enough if the typical engine would: a first token that is
        late on a slow engine is better than none.
        """
        request = choice.request
        needed_tokens = request.context_tokens + min(
            GROWTH_TOKENS, self._registry.expected_new_output(request)
        )
        roomy = [one for one in candidates if _has_room(choice, one, needed_tokens)]
        prefill_s = self._registry.prefill_s
        in_time = [
            one
            for one in roomy
            if _is_in_time(choice, one, prefill_s(one.id, request.context_tokens))
        ]
        if in_time or not self._registry.speeds.differ():
            return in_time
        typical_s = request.context_tokens / self._registry.prefill_per_s
        return [one for one in roomy if _is_in_time(choice, one, typical_s)]

    def best(
        self, choice: Choice, fitting: list[Runner], candidates: list[Runner]
    ) -> tuple[Runner, Latency | None]:
        """Return the engine with the lowest score, or one of those that are near it.

        The forecast latency there is returned too, if the speeds of `candidates` differ.
        """
        scored = [(_score_s(choice, runner), runner) for runner in fitting]
        forecast = self._forecast(choice, candidates)
        if forecast is not None:
            scored = [(score_s + forecast.cost_s(runner), runner) for score_s, runner in scored]
        best_s = min(score_s for score_s, _ in scored)
        chosen = self._rng.choice(
            [runner for score_s, runner in scored if score_s <= best_s + NEAR_S]
        )
        return chosen, None if forecast is None else forecast.latency(chosen)

    def _forecast(self, choice: Choice, candidates: list[Runner]) -> "_ForecastCosts | None":
        """Return the costs by forecast latency; None if all candidates are typical engines."""
        speeds = self._registry.speeds
        if not speeds.differ() or all(speeds.speed(one.id) == TYPICAL for one in candidates):
            return None
        return _ForecastCosts(self._registry, choice, candidates)


class _ForecastCosts:
    """The costs of engines by forecast latency, for one generation."""

    def __init__(self, registry: RunRegistry, choice: Choice, candidates: list[Runner]) -> None:
        self._registry = registry
        self._choice = choice
        self._output_tokens = registry.expected_new_output(choice.request)
        self._keep_target_s = inf
        """Gap target of the long streams that fast engines are kept for; inf if there are none."""
        self._keep_cost_s = 0.0
        if choice.request.gap_target_s is None or self._output_tokens < SHORT_TOKENS:
            loads = choice.loads
            self._keep_target_s = min(loads[one.id].gap_target_s for one in candidates)
            self._keep_cost_s = KEEP_WEIGHT_S * self._scarcity(candidates)

    def cost_s(self, runner: Runner) -> float:
        """Return what an engine costs beyond its load, in seconds of waiting."""
        prefill_s = self._registry.prefill_s(runner.id, self._choice.request.context_tokens)
        kept_s = self._keep_cost_s if self._is_kept(runner) else 0.0
        return prefill_s + MISS_WEIGHT_S * self._missed(runner, prefill_s) + kept_s

    def latency(self, runner: Runner) -> Latency:
        """Return the forecast latency of the generation on an engine."""
        choice, load = self._choice, self._choice.loads[runner.id]
        prefill_s = self._registry.prefill_s(runner.id, choice.request.context_tokens)
        speed = pacing_speed(self._registry.speeds, choice.engine, runner)
        return Latency(
            load.prefill_wait_s(choice.now_s) + prefill_s,
            STALL_FACTOR * pause_s(choice.engine, speed, load.runs + 1, prompts=True),
            self._missed(runner, prefill_s) < LIKELY_MISSED,
        )

    def _missed(self, runner: Runner, prefill_s: float) -> float:
        """Return the expected number of targets missed if the generation runs on an engine."""
        choice, load = self._choice, self._choice.loads[runner.id]
        speed = pacing_speed(self._registry.speeds, choice.engine, runner)
        wait_s = load.prefill_wait_s(choice.now_s)
        pause = pause_s(choice.engine, speed, load.runs + 1, prompts=True)
        time_s = output_s(choice.engine, speed, load.runs + 1, self._output_tokens)
        return (
            late_share(wait_s + prefill_s, choice.prefill_budget_s)
            + miss_share(pause, choice.request.gap_target_s, time_s)
            + streams_missed(choice.engine, speed, load, wait_s, prefill_s)
        )

    def _is_kept(self, runner: Runner) -> bool:
        """Return whether an engine is fit for the long streams that run now."""
        if self._keep_target_s == inf:
            return False
        engine, load = self._choice.engine, self._choice.loads[runner.id]
        speed = pacing_speed(self._registry.speeds, engine, runner)
        return keeps_target(engine, speed, load.runs, self._keep_target_s)

    def _scarcity(self, candidates: list[Runner]) -> float:
        """Return how far the engines fit for long streams are filled: 0 with room, 1 if full."""
        kept = [self._choice.loads[runner.id] for runner in candidates if self._is_kept(runner)]
        if not kept:
            return 0.0
        used = sum(load.used_tokens for load in kept) / max(
            1, self._choice.engine.kv_capacity_tokens
        )
        runs = sum(load.runs for load in kept) / max(1, self._choice.engine.batch_slots)
        free_share = 1.0 - max(used, runs) / len(kept)
        return min(1.0, max(0.0, 1.0 - free_share / KEEP_FREE_SHARE))


def _is_in_time(choice: Choice, runner: Runner, prefill_s: float) -> bool:
    """Return whether an engine has processed the prompt within the budget."""
    wait_s = choice.loads[runner.id].prefill_wait_s(choice.now_s)
    return wait_s + prefill_s <= choice.prefill_budget_s


def _has_room(choice: Choice, runner: Runner, needed_tokens: float) -> bool:
    """Return whether an engine has a slot and memory; an empty one takes any generation."""
    load = choice.loads[runner.id]
    if load.runs >= min(choice.engine.batch_slots, runner.slots):
        return False
    used_tokens = load.used_tokens
    return not used_tokens or used_tokens + needed_tokens <= choice.max_tokens


def _score_s(choice: Choice, runner: Runner) -> float:
    """Return the cost of an engine's load, in seconds of waiting for the first token."""
    load, engine = choice.loads[runner.id], choice.engine
    memory_s = MEMORY_WEIGHT_S * load.used_tokens / max(1, engine.kv_capacity_tokens)
    batch_s = BATCH_WEIGHT_S * load.runs / max(1, engine.batch_slots)
    cold_s = COLD_WEIGHT_S if runner.cold_s > 0 else 0.0
    return load.prefill_wait_s(choice.now_s) + memory_s + batch_s + cold_s
