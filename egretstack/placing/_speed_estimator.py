"""Estimates at the home how fast each engine is, from the timings of all instances.

Does no I/O; the time is passed in. All values are logarithms of the ratio of a measured time to the
time that was expected of a typical engine.
"""

from collections import Counter
from collections.abc import Collection, Mapping
from math import log

from egretstack.fleet import REPORT_PERIOD_S, Runner
from egretstack.ids import InstanceId, RunnerId, ServiceName
from egretstack.placing._engine_speeds import (
    TYPICAL,
    EngineSpeeds,
)
from egretstack.placing._engine_timings import EngineTiming
from egretstack.placing._prompt_forecasts import PromptForecasts
from egretstack.placing._speed_judge import ServiceJudge, SpeedChange
from egretstack.placing._timing_bins import (
    InstanceOffsets,
    Timing,
    TimingBins,
    TimingKind,
)

OFFSETS_EVERY = 3
"""Evaluations after which the offsets of instances are renewed. That takes longer than the rest of
an evaluation, and the offsets change little."""


class EngineSpeedEstimator:
    """Holds the timings of all engines and keeps `EngineSpeeds` up to date with them.

    A new home has the speeds of the former one in `EngineSpeeds`; they stay until its own timings
    say otherwise.
    """

    def __init__(self, speeds: EngineSpeeds, prompts: PromptForecasts) -> None:
        self._speeds = speeds
        self._prompts = prompts
        self._timings_by_id: dict[RunnerId, TimingBins] = {}
        self._offsets_by_service: dict[ServiceName, InstanceOffsets] = {}
        self._evaluations = 0

    def record(
        self, now_s: float, instance: InstanceId, runner: Runner, timing: EngineTiming, runs: int
    ) -> None:
        """Record what an instance measured on an engine, on which there are `runs` now."""
        timings = self._timings_by_id.setdefault(runner.id, TimingBins())
        growth = self._prompts.step_growth(now_s, runner.id, runs, REPORT_PERIOD_S)
        if timing.gaps and growth is not None:
            ratio = log(timing.gap_s / growth)
            timings.add(now_s, Timing(instance, TimingKind.STEP, ratio))
        for first in timing.first_tokens:
            expected_s = self._prompts.pop_expected_s(first.attempt, runner.id)
            if expected_s is not None and first.read_s > 0:
                ratio = log(first.read_s / expected_s)
                timings.add(now_s, Timing(instance, TimingKind.PREFILL, ratio))

    def observed_s(self, runner: RunnerId) -> int:
        """Return for how many seconds there are timings of an engine."""
        timings = self._timings_by_id.get(runner)
        return 0 if timings is None else round(timings.covered_s())

    def retain(self, runners: Collection[RunnerId]) -> None:
        """Forget the timings of engines that are not in `runners`."""
        for runner in self._timings_by_id.keys() - set(runners):
            del self._timings_by_id[runner]
        self._prompts.retain(runners)

    def evaluate(
        self, now_s: float, service_by_id: Mapping[RunnerId, ServiceName]
    ) -> list[SpeedChange]:
        """Judge all engines again, and forget the speeds of those that are not passed in.

        Returns what has changed.
        """
        changes: list[SpeedChange] = []
        renews_offsets = self._evaluations % OFFSETS_EVERY == 0
        self._evaluations += 1
        for timings in self._timings_by_id.values():
            timings.drop_old(now_s)
        size_by_service = Counter(service_by_id.values())
        self._offsets_by_service = {
            service: self._offsets_by_service.get(service) or InstanceOffsets()
            for service in size_by_service
        }
        event_s_by_service = self._speeds.typical_events_s()
        for service, size in size_by_service.items():
            engines = {
                runner: timings
                for runner, timings in self._timings_by_id.items()
                if service_by_id.get(runner) == service
            }
            judge = ServiceJudge(
                engines, size, self._offsets_by_service[service], renews_offsets=renews_offsets
            )
            changes += judge.changes(self._speeds)
            event_s = judge.typical_event_s()
            if event_s is not None:
                event_s_by_service[service] = event_s
        speed_by_id = self._speeds.by_id() | {one.runner: one.after for one in changes}
        self._speeds.apply(
            {
                runner: speed
                for runner, speed in speed_by_id.items()
                if speed != TYPICAL and runner in service_by_id
            },
            {one: event_s_by_service[one] for one in size_by_service if one in event_s_by_service},
        )
        return changes
