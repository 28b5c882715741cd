"""Sends this instance's timings of engines to the home, and tells the fleet which engines differ.

`placing.EngineTimingLog` collects the timings, `placing.EngineSpeedEstimator` judges them.
"""

from collections import Counter
from collections.abc import Callable

import trio

from egretstack.events import Event, log
from egretstack.fleet import EngineTimings
from egretstack.ids import InstanceId, RunnerId, ServiceName
from egretstack.kernel import Kernel, Service
from egretstack.messages import MessageError, encode
from egretstack.placing import (
    MAX_TIMED_ENGINES,
    TYPICAL,
    EngineSpeed,
    EngineSpeedEstimator,
    EngineTiming,
    SpeedChange,
    pace_from_row,
    speed_from_row,
    speed_row,
    timing_from_row,
    timing_row,
)
from egretstack.services._news_rows import InvalidRows
from egretstack.services.engine_placing import EnginePlacingService
from egretstack.services.fleet_news import FleetUpdatesService
from egretstack.services.fleet_port import FleetPort
from egretstack.services.placing_home import PlacingHome
from egretstack.services.relay_metrics import RelayMetrics

SPEED = "s"
"""First letter of the keys of speeds in the home's updates."""
PACE = "t"
"""First letter of the keys of the services' paces."""
PACE_PERIOD_S = 1.0
"""How often the home renews the paces that it sends."""
SEND_PERIOD_S = 1.0
"""How often timings are sent, which the home collects by the second. With each report, four times a
second, a home of 195 instances would get as many datagrams again as there are reports."""
EVALUATION_PERIOD_S = 2.0
"""How often the home judges the engines again, which takes some milliseconds for 45 engines."""
RUN_COUNTS_TTL_S = 0.25
"""How long the number of runs on each engine is kept; some 80 messages arrive each second."""


class EngineSpeedsService(Service):
    """Measures here, estimates at the home, and applies what the home sent elsewhere."""

    name = "engine_speeds"
    requires = ("engine_placing", "fleet_news", "fleet_port", "placing_home", "relay_metrics")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._home = kernel.get(PlacingHome)
        self._log = kernel.get(EnginePlacingService).timings
        registry = self._home.placer.registry
        self._speeds = registry.speeds
        self.estimator = EngineSpeedEstimator(registry.speeds, registry.prompts)
        self._sent_s = float("-inf")
        self._evaluated_s = float("-inf")
        self._has_new = False
        self._run_counts: Counter[RunnerId] = Counter()
        self._counted_s = float("-inf")
        # Before any service runs: rows are applied only as they come or change.
        updates = kernel.get(FleetUpdatesService)
        updates.add_row_kind(SPEED, self._rows, self._apply_rows)
        updates.add_row_kind(PACE, self._pace_rows, self._apply_pace_rows)
        self._paces = registry.paces
        self._pace_rows_made: dict[str, list] = {}
        self._paces_made_s = float("-inf")
        self._paces_invalid = InvalidRows(Event.HOME_ROWS_INVALID)
        self._timings_invalid = InvalidRows(Event.ENGINE_TIMINGS_INVALID)
        self._speeds_invalid = InvalidRows(Event.ENGINE_SPEEDS_INVALID)
        gauge = kernel.get(RelayMetrics).gauge(
            "egret_relay_differing_engines",
            "Engines that are slower or faster than the typical one of their service.",
            "speed",
        )
        gauge.labels("slower").set_function(lambda: self._count(lambda speed: _is_slower(speed)))
        gauge.labels("faster").set_function(
            lambda: self._count(lambda speed: not _is_slower(speed))
        )

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Send and accept timings until cancelled."""
        self._port.handle(EngineTimings, self._on_timings)
        self._port.on_report_sent(self._on_report_sent)
        task_status.started()
        await trio.sleep_forever()

    def _on_report_sent(self) -> None:
        now_s = trio.current_time()
        if now_s - self._sent_s >= SEND_PERIOD_S:
            self._sent_s = now_s
            self._send(now_s)
        if now_s - self._evaluated_s >= EVALUATION_PERIOD_S:
            self._evaluated_s = now_s
            self._evaluate(now_s)

    def _send(self, now_s: float) -> None:
        timings = self._log.take()
        if not timings:
            return
        own = self.kernel.settings.instance
        data = encode(EngineTimings(own, [timing_row(one) for one in timings]))
        for target in self._port.fleet.report_targets(now_s):
            self._port.send_encoded(target.peer_address, data)
        if self._port.is_home():
            self._record(now_s, own, timings)
        else:
            self._record_paces(now_s, timings)

    def _on_timings(self, message: EngineTimings, sender: tuple[str, int]) -> None:
        """Record the timings of another instance. Raises MessageError."""
        instance = InstanceId(message.sender)
        if len(message.timings) > MAX_TIMED_ENGINES:
            raise MessageError(f"{len(message.timings)} rows of timings are too many")
        if self._port.fleet.find(instance) is None:
            return
        now_s = trio.current_time()
        timings = []
        for row in message.timings:
            try:
                timings.append(timing_from_row(row))
            except MessageError as error:
                self._timings_invalid.record(now_s, instance, error)
        self._record(now_s, instance, timings)

    def _record(self, now_s: float, instance: InstanceId, timings: list[EngineTiming]) -> None:
        self._record_paces(now_s, timings)
        table = self._port.runners
        counts = self._counts(now_s)
        for timing in timings:
            runner = table.by_id.get(timing.runner)
            if runner is not None and not table.is_cold(now_s, runner.id, 0.0):
                self.estimator.record(now_s, instance, runner, timing, counts[runner.id])
                self._has_new = True

    def _record_paces(self, now_s: float, timings: list[EngineTiming]) -> None:
        for timing in timings:
            runner = self._port.runners.by_id.get(timing.runner)
            if runner is not None:
                self._paces.record(now_s, runner.service, runner.id, timing)

    def _counts(self, now_s: float) -> Counter[RunnerId]:
        """Return the number of runs on each engine."""
        if now_s - self._counted_s >= RUN_COUNTS_TTL_S:
            self._counted_s = now_s
            self._home.refresh_own_runs()
            loads = self._home.placer.registry.loads(now_s, fleet_wide=True)
            self._run_counts = Counter({runner: load.runs for runner, load in loads.items()})
        return self._run_counts

    def _evaluate(self, now_s: float) -> None:
        """Judge the engines, as the home."""
        runners = self._port.runners.by_id
        self.estimator.retain(runners.keys())
        # An instance that has just started as the home knows no runners yet.
        if not runners or not self._port.is_home():
            return
        if not self._has_new and not self._speeds.differ():
            return
        self._has_new = False
        services = {runner.id: runner.service for runner in runners.values()}
        for change in self.estimator.evaluate(now_s, services):
            _log_change(change)

    def _rows(self) -> dict[str, list]:
        return {
            f"{SPEED}{runner}": speed_row(speed) for runner, speed in self._speeds.by_id().items()
        }

    def _apply_rows(self, rows: dict[str, list]) -> None:
        """Apply all speeds that the home has sent; ignore those that are invalid.

        The home itself applies them with those of an earlier home, and keeps what it has measured.
        """
        parsed = self._speeds_invalid.parse(rows, speed_from_row)
        speed_by_id = {RunnerId(key[len(SPEED) :]): speed for key, speed in parsed.items()}
        event_s_by_service = self._speeds.typical_events_s() if self._port.is_home() else None
        self._speeds.apply(
            {runner: speed for runner, speed in speed_by_id.items() if speed != TYPICAL},
            event_s_by_service,
        )

    def _pace_rows(self) -> dict[str, list]:
        now_s = trio.current_time()
        if now_s - self._paces_made_s >= PACE_PERIOD_S:
            self._paces_made_s = now_s
            rows = self._paces.rows(now_s)
            self._pace_rows_made = {f"{PACE}{service}": row for service, row in rows.items()}
        return self._pace_rows_made

    def _apply_pace_rows(self, rows: dict[str, list]) -> None:
        """Apply all paces that the home has sent; as the home, those of an earlier one."""
        parsed = self._paces_invalid.parse(rows, pace_from_row)
        paces = {ServiceName(key[len(PACE) :]): pace for key, pace in parsed.items()}
        self._paces.apply(trio.current_time(), paces)

    def _count(self, matches: Callable[[EngineSpeed], bool]) -> int:
        return sum(map(matches, self._speeds.by_id().values()))


def _is_slower(speed: EngineSpeed) -> bool:
    return max(speed.prefill_factor, speed.step_factor) > 1.0


def _log_change(change: SpeedChange) -> None:
    event = Event.ENGINE_SPEED_CHANGED
    if change.before == TYPICAL:
        event = Event.ENGINE_SPEED_LEARNED
    elif change.after == TYPICAL:
        event = Event.ENGINE_SPEED_TYPICAL
    prefill_percent, step_percent = speed_row(change.after)
    log(
        event,
        runner=change.runner,
        prefill_percent=prefill_percent,
        step_percent=step_percent,
        seconds=change.bins,
        unusual_seconds=change.unusual_bins,
        instances=change.instances,
    )
