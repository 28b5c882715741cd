"""What the home expects of prompts on typical engines, to compare timings with. Does no I/O.

A first token comes late behind other prompts, and gaps are longer while prompts are processed. The
home knows both, since it has placed the prompts; an instance knows only its own.
"""

from collections.abc import Collection
from dataclasses import dataclass

from egretstack.ids import RunnerId

MAX_FORECASTS = 4096
"""Limit on the attempts that are remembered; a fleet begins some 30 each second."""
MAX_AGE_S = 60.0
"""How long an attempt is remembered."""
FIRST_TOKEN_OVERHEAD_S = 0.02
"""Time of a first token besides the prompt: the network and the end of the current steps."""
STEP_GROWTH_PER_RUN = 0.017
"""How much each running request lengthens a step, relative to the step of an empty engine: 0.12 ms
to 7 ms. A constant suffices, since engines of a service have much the same number of runs."""
REFERENCE_PREFILL_PER_S = 7_000.0
"""Prefill rate of the engine that timings are compared with. It is constant, so that timings of
different moments can be compared; the estimated rate of the fleet changes."""
PROMPT_STEP_GROWTH = 1.0
"""How much a chunk of a prompt lengthens a step, likewise: such a step takes twice as long."""
MAX_WAIT_SHARE = 0.5
"""Largest share of the forecast that is a wait behind other prompts. The forecast of such a wait is
less certain than that of the prompt itself."""


@dataclass(frozen=True, slots=True)
class _Forecast:
    runner: RunnerId
    placed_s: float
    expected_s: float
    wait_share: float


class PromptForecasts:
    """The prompts that this instance, as the home, has placed lately."""

    def __init__(self) -> None:
        self._forecast_by_attempt: dict[str, _Forecast] = {}
        self._busy_by_id: dict[RunnerId, tuple[float, float]] = {}
        """When each engine began to process prompts without a pause, and when it will be done."""

    def record_placement(
        self,
        now_s: float,
        attempt: str,
        runner: RunnerId,
        prompt_tokens: int,
        prefill_per_s: float,
        prefill_factor: float,
        runs: int,
    ) -> None:
        """Record a placement on an engine with `runs`.

        The rate is what the fleet's prompts are forecast with, the factor what is known of the
        engine's speed.
        """
        begin_s, until_s = self._busy_by_id.get(runner, (now_s, now_s))
        if until_s <= now_s:
            begin_s = until_s = now_s
        wait_s = until_s - now_s
        own_s = prompt_tokens / prefill_per_s * prefill_factor
        self._busy_by_id[runner] = (begin_s, until_s + own_s)
        growth = 1.0 + STEP_GROWTH_PER_RUN / (1.0 + PROMPT_STEP_GROWTH) * runs
        per_reference = growth * prefill_per_s / REFERENCE_PREFILL_PER_S / prefill_factor
        expected_s = (wait_s + own_s) * per_reference + FIRST_TOKEN_OVERHEAD_S
        share = wait_s / (wait_s + own_s) if wait_s > 0 else 0.0
        self._forecast_by_attempt.pop(attempt, None)
        self._forecast_by_attempt[attempt] = _Forecast(runner, now_s, expected_s, share)
        self._drop_old(now_s)

    def pop_expected_s(self, attempt: str, runner: RunnerId) -> float | None:
        """Return in what time the first token was expected of a typical engine.

        None if that is not known: another instance placed it, or it ran elsewhere in the end, or it
        waited behind others for the most part.
        """
        forecast = self._forecast_by_attempt.pop(attempt, None)
        if forecast is None or forecast.runner != runner or forecast.wait_share > MAX_WAIT_SHARE:
            return None
        return forecast.expected_s

    def step_growth(
        self, now_s: float, runner: RunnerId, runs: int, window_s: float
    ) -> float | None:
        """Return how much longer a step took in the last `window_s` than on an empty engine.

        None if prompts were processed in a part of that time: the median gap may be that of the
        steps with a chunk of a prompt, or that of the others.
        """
        begin_s, until_s = self._busy_by_id.get(runner, (now_s, now_s))
        busy_s = max(0.0, min(now_s, until_s) - max(now_s - window_s, begin_s))
        if 0.0 < busy_s < window_s:
            return None
        growth = PROMPT_STEP_GROWTH if busy_s else 0.0
        return 1.0 + STEP_GROWTH_PER_RUN * runs + growth

    def retain(self, runners: Collection[RunnerId]) -> None:
        """Forget the engines that are not in `runners`."""
        for runner in self._busy_by_id.keys() - set(runners):
            del self._busy_by_id[runner]

    def _drop_old(self, now_s: float) -> None:
        forecasts = self._forecast_by_attempt
        while forecasts:
            oldest = next(iter(forecasts))
            if len(forecasts) <= MAX_FORECASTS and now_s - forecasts[oldest].placed_s < MAX_AGE_S:
                return
            del forecasts[oldest]
