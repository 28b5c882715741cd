"""Forecasts first tokens and pauses of streams on engines of different speed.

An engine generates one token for each of its runs in a step. While it has prompts to process, each
step includes a chunk of one, and all streams there have longer pauses. Machines are shared, so now
and then work takes a multiple of its time; a stream that lasts meets that almost surely, one of a
few events rarely. On a slow engine both together make a pause that callers count as too long.
"""

from dataclasses import dataclass, replace
from math import exp

from egretstack.fleet import Runner
from egretstack.placing._engine_speeds import EngineSpeed, EngineSpeeds
from egretstack.placing._loads import EngineLoad
from egretstack.routing import EngineConfig

STEP_S = 0.007
"""Duration of a step without runs on the typical engine, unless the home has measured it."""
MAX_STEP_RATIO = 10.0
"""Limit on how much the measured time of a step may differ from `STEP_S`."""
RUN_STEP_S = 0.000_12
"""Time that each run adds to a step."""
CHUNK_STEP_S = 0.008
"""Time that a chunk of a prompt adds to a step; it doubles the step."""
STALL_FACTOR = 2.5
"""Multiple of the usual time that work takes while others use the machine."""
STALL_S = 0.6
"""How long that lasts each time."""
STALL_SHARE = 0.15
"""Share of the time in which it is so."""
STALL_DELAY_S = STALL_S * (1 - 1 / STALL_FACTOR)
"""How much later work is done if it meets one stall in full."""
STALL_INTERVAL_S = STALL_S * (1 - STALL_SHARE) / STALL_SHARE
"""Mean time from the end of a stall to the start of the next."""
SAFE_SHARE = 0.75
"""Share of the gap target up to which a forecast pause counts as in time."""
MISSED_SHARE = 1.25
"""Share of the gap target from which a forecast pause counts as too long. In between, the forecast
is not exact enough to decide: the speeds of engines are known to about a fifth."""


@dataclass(frozen=True, slots=True)
class Latency:
    """Forecast latency of a generation on one engine."""

    first_token_s: float
    pause_s: float
    """Longest pause between two events, if its machine stalls while prompts are processed."""
    keeps_targets: bool
    """Whether the generation and the streams beside it are likely to keep their targets."""


def pacing_speed(speeds: EngineSpeeds, engine: EngineConfig, runner: Runner) -> EngineSpeed:
    """Return an engine's speed with a step factor relative to `STEP_S`.

    The factor that is known is relative to the typical engine. That is a slow one where most
    engines are slow, so its measured time is taken into account.
    """
    speed = speeds.speed(runner.id)
    event_s = speeds.typical_event_s(runner.service)
    if event_s is None:
        return speed
    ratio = event_s / (engine.tokens_per_event * STEP_S)
    ratio = min(MAX_STEP_RATIO, max(1 / MAX_STEP_RATIO, ratio))
    return replace(speed, step_factor=speed.step_factor * ratio)


def pause_s(engine: EngineConfig, speed: EngineSpeed, runs: int, *, prompts: bool) -> float:
    """Return the pause between two events in a batch of `runs`, without a stall.

    `prompts` says whether prompts are processed at that time.
    """
    step_s = STEP_S + RUN_STEP_S * runs + (CHUNK_STEP_S if prompts else 0.0)
    return engine.tokens_per_event * step_s * speed.step_factor


def output_s(engine: EngineConfig, speed: EngineSpeed, runs: int, tokens: float) -> float:
    """Return how long an engine generates `tokens` of one run, without prompts beside it."""
    return tokens * pause_s(engine, speed, runs, prompts=False) / max(1, engine.tokens_per_event)


def stall_share(time_s: float) -> float:
    """Return the probability that work of this duration meets a stall."""
    return 1.0 - (1.0 - STALL_SHARE) * exp(-time_s / STALL_INTERVAL_S)


def miss_share(pause: float, target_s: float | None, time_s: float) -> float:
    """Return the probability that a stream has a pause above its target.

    `pause` is the usual one, in seconds, and `time_s` how long the stream has such pauses.
    """
    if target_s is None:
        return 0.0
    always = _above_share(pause / target_s)
    stalled = _above_share(STALL_FACTOR * pause / target_s)
    return max(always, stalled * stall_share(time_s)) if stalled else 0.0


def late_share(first_token_s: float, budget_s: float) -> float:
    """Return the probability that a first token forecast without a stall is late."""
    if first_token_s > budget_s:
        return 1.0
    return stall_share(first_token_s) if first_token_s + STALL_DELAY_S > budget_s else 0.0


def keeps_target(
    engine: EngineConfig, speed: EngineSpeed, runs: int, target_s: float | None
) -> bool:
    """Return whether a long stream's pauses are within its target, with prompts and a stall."""
    if target_s is None:
        return True
    return STALL_FACTOR * pause_s(engine, speed, runs, prompts=True) <= target_s


def streams_missed(
    engine: EngineConfig, speed: EngineSpeed, load: EngineLoad, wait_s: float, prefill_s: float
) -> float:
    """Return how many more long streams on an engine miss their target if it gets a prompt.

    `wait_s` is the time that its other prompts take. Streams that miss their target with these, or
    without any prompt, do not count.
    """
    if not load.streams:
        return 0.0
    target_s = load.gap_target_s
    after = pause_s(engine, speed, load.runs + 1, prompts=True)
    before = pause_s(engine, speed, load.runs, prompts=wait_s > 0.0)
    missed = (
        miss_share(before, target_s, wait_s) if wait_s > 0.0 else _above_share(before / target_s)
    )
    return load.streams * max(0.0, miss_share(after, target_s, wait_s + prefill_s) - missed)


def _above_share(ratio: float) -> float:
    """Return the probability that a pause forecast at `ratio` of its target is above it."""
    return min(1.0, max(0.0, (ratio - SAFE_SHARE) / (MISSED_SHARE - SAFE_SHARE)))
