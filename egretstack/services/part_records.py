"""Knows, on all instances, which parts of prompts end runners.

Instances report ends of runners and proofs of sound parts to the home, which decides which parts
are guilty and sends the records of all suspects in its updates.
"""

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from math import isfinite

import trio

from egretstack.crashes import (
    PartRecord,
    PartReports,
    PartStrike,
    PartTable,
    StruckParts,
    part_record_from_row,
    part_record_row,
    part_strikes_from_row,
    proof_from_row,
    refused_parts,
)
from egretstack.events import Event, log
from egretstack.fleet import InstanceReport
from egretstack.ids import InstanceId, PartId, RunnerId
from egretstack.kernel import Kernel, Service
from egretstack.messages import MessageError
from egretstack.services._news_rows import PART, InvalidRows, RowByKey
from egretstack.services._part_trials import TrialGrant, TrialGrants, TrialUse
from egretstack.services.fleet_news import FleetUpdatesService
from egretstack.services.fleet_port import FleetPort
from egretstack.services.relay_metrics import RelayMetrics
from egretstack.traffic import Fingerprint

FORGET_PERIOD_S = 30.0
MAX_REPORTED_STRIKES = 512
MAX_REPORTED_PROOFS = 256
SETTLE_S = 1.0
"""Time after which an instance that hears reports knows what the others have proven."""
MAX_PAUSE_S = 1.0
"""Longest pause between reports, of which there are several a second, of whatever instance."""
COUNT_TTL_S = 2.0
"""Time for which another instance's number of proven runs counts after its report."""


@dataclass(frozen=True, slots=True)
class _Listed:
    """What the home's updates say of a part."""

    record: PartRecord
    trial: TrialGrant | None


class PartRecords(Service):
    """Records strikes and proofs, and tells which requests have a guilty part."""

    name = "part_records"
    requires = ("fleet_news", "fleet_port", "relay_metrics")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._invalid_rows = InvalidRows(Event.HOME_ROWS_INVALID)
        self._table = PartTable()
        self._table.recently_proven = self._proven_runs
        self._reports = PartReports()
        self._proven_by_instance: dict[InstanceId, tuple[float, int]] = {}
        """When each other instance last reported, and how many of its runs were proven."""
        self._listed_by_part: dict[PartId, _Listed] = {}
        """The home's records, on an instance that is not the home."""
        self._listed_guilty: dict[PartId, frozenset[PartId]] = {}
        """The guilty parts among them."""
        self._grants = TrialGrants(kernel.rng)
        self._trial_use = TrialUse()
        self._heard_since_s = float("-inf")
        """Since when this instance has heard the reports of others without a pause."""
        self._heard_s = float("-inf")
        self._settled_s: float | None = None
        """When this instance, as the home, begins to find parts guilty; None as a follower."""
        self._logged_guilty: frozenset[PartId] = frozenset()
        self._waiting: list[tuple[Fingerprint, Callable[[], None]]] = []
        self._listeners: list[Callable[[], None]] = []
        # Before any service runs: rows are applied only as they come or change.
        kernel.get(FleetUpdatesService).add_row_kind(PART, self._rows, self._apply_rows)
        gauge = kernel.get(RelayMetrics).gauge(
            "egret_relay_refused_parts",
            "Parts of prompts with which no runner gets a request, as runners end under them.",
        )
        gauge.set_function(lambda: len(self.guilty()))

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Exchange records until cancelled."""
        self._port.part_rows = self._report_rows
        self._port.on_report_received(self._on_report)
        task_status.started()
        while True:
            await trio.sleep(FORGET_PERIOD_S)
            if self._table.forget_expired(trio.current_time()):
                self._on_changed()

    def guilty(self) -> Mapping[PartId, frozenset[PartId]]:
        """Return the guilty parts, each with those that it is tied with."""
        if self._port.is_home():
            return self._table.guilty
        return self._listed_guilty

    def refused_part(self, request: Fingerprint) -> PartId | None:
        """Return the part for which no runner may get a request now; None if it may be sent."""
        if not request.parts or not self._table:
            return None
        parts = refused_parts(self.guilty(), request.parts)
        if not parts:
            return None
        if len(parts) == 1 and self._is_trial(parts[0], request):
            return None
        return parts[0]

    @contextmanager
    def notify_when_refused(self, request: Fingerprint, wake: Callable[[], None]) -> Iterator[None]:
        """Call `wake` if a part of a request becomes guilty while the context is active."""
        entry = request, wake
        if request.parts:
            self._waiting.append(entry)
        try:
            yield
        finally:
            if request.parts:
                self._waiting.remove(entry)

    def record_strike(self, request: Fingerprint, strike: PartStrike) -> None:
        """Record that a runner ended as a run of a request began here."""
        if not request.parts:
            return
        parts = StruckParts(request.parts, request.own_part)
        self._reports.record_strike(parts, strike)
        if self._table.record_strike(parts, strike):
            self._on_changed()
        self._port.report_soon()

    def record_proof(self, request: Fingerprint, began_s: float) -> None:
        """Record that a run of a request, which began to write at a time, did not crash."""
        parts = request.parts
        if not parts:
            return
        self._reports.record_proven_run(trio.current_time())
        if self._table.record_proof(parts, began_s, request.own_part):
            self._on_changed()
        if any(part in self._listed_by_part for part in (*parts, request.own_part)):
            self._port.report_soon()

    def durable_records(self) -> dict[PartId, PartRecord]:
        """Return the records that have to survive the end of all processes."""
        return self._table.durable_records()

    def merge_stored(self, part: PartId, record: PartRecord) -> None:
        """Add a record of the store."""
        if self._table.merge_records(trio.current_time(), {part: record}):
            self._on_changed()

    def clear(self, part: PartId) -> None:
        """Let requests with a part run again, whose record an operator has deleted."""
        self._table.clear(part, trio.current_time())
        self._on_changed()

    def is_suspected(self, request: Fingerprint) -> bool:
        """Return whether a runner ended as a run with a part of a request began."""
        return self._table.is_suspected(request.parts)

    def runners_ended_by_others(self, request: Fingerprint) -> set[RunnerId]:
        """Return the runners that ended under guilty parts which a request does not have."""
        others = self.guilty().keys() - set(request.parts)
        return {runner for part in others for runner in self._table.runners_ended_under(part)}

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` when a record has changed."""
        self._listeners.append(listener)

    def _is_trial(self, part: PartId, request: Fingerprint) -> bool:
        """Return whether a request is the one that this instance lets through with a part."""
        grant = self._grant(part)
        if grant is not None and grant.instance != self._port.fleet.own.instance.id:
            grant = None
        return self._trial_use.allows(part, request.content, grant)

    def _grant(self, part: PartId) -> TrialGrant | None:
        if self._port.is_home():
            return self._grants.grant(part)
        listed = self._listed_by_part.get(part)
        return None if listed is None else listed.trial

    def _proven_runs(self) -> int:
        now_s = trio.current_time()
        others = self._proven_by_instance.values()
        return self._reports.proven_runs(now_s) + sum(
            count for at_s, count in others if now_s - at_s <= COUNT_TTL_S
        )

    def _report_rows(self) -> tuple[list, list, int]:
        now_s = trio.current_time()
        asked = self._listed_by_part.keys() | self._reports.struck_parts(now_s)
        proven = {part: self._table.proven_s(part) for part in asked}
        known = {
            part: began_s
            for part, began_s in proven.items()
            if began_s is not None and isfinite(began_s)
        }
        return (
            self._reports.strike_rows(now_s, self._table.proven_s),
            self._reports.proof_rows(now_s, known),
            self._reports.proven_runs(now_s),
        )

    def _on_report(self, instance: InstanceId, report: InstanceReport) -> None:
        now_s = trio.current_time()
        try:
            strikes = [
                part_strikes_from_row(row, now_s)
                for row in report.part_strikes[:MAX_REPORTED_STRIKES]
            ]
            proofs = [
                proof_from_row(row, now_s) for row in report.part_proofs[:MAX_REPORTED_PROOFS]
            ]
        except MessageError as error:
            log(Event.PEER_REFUSED, sender=instance, error=str(error))
            return
        if isinstance(report.proven_runs, int):
            self._proven_by_instance[instance] = now_s, report.proven_runs
        if now_s - self._heard_s > MAX_PAUSE_S:
            self._heard_since_s = now_s
        self._heard_s = now_s
        # Proofs first: they refute strikes of the same report.
        changed = [self._table.record_proof([part], began_s) for part, began_s in proofs]
        changed += [self._table.record_strike(parts, strike) for parts, strike in strikes]
        if any(changed):
            self._on_changed()

    def _rows(self) -> RowByKey:
        now_s = trio.current_time()
        self._settle(now_s)
        live = [known.instance.id for known in self._port.fleet.live(now_s)]
        self._grants.update(now_s, self._table.trials_due(now_s), live)
        return {
            f"{PART}{part}": [*part_record_row(record), list(self._grants.grant(part) or ())]
            for part, record in self._table.shared_records().items()
        }

    def _settle(self, now_s: float) -> None:
        """Begin as the home, and some time later to find parts guilty."""
        if self._settled_s is None:
            hears = now_s - self._heard_s <= MAX_PAUSE_S
            self._settled_s = SETTLE_S + (self._heard_since_s if hears else now_s)
            self._table.is_settling = True
        if self._table.is_settling and now_s >= self._settled_s:
            self._table.settle()
            self._on_changed()

    def _apply_rows(self, rows: RowByKey) -> None:
        """Take over the home's records."""
        parsed = self._invalid_rows.parse(rows, _parse_row)
        listed = {PartId(key[1:]): one for key, one in parsed.items()}
        if not self._port.is_home():
            # The home alone has the proofs of all instances.
            self._settled_s = None
            self._table.is_settling = True
            self._table.forget(self._listed_by_part.keys() - listed.keys())
            self._listed_by_part = listed
            self._listed_guilty = {
                part: one.record.tied_with for part, one in listed.items() if one.record.tied_with
            }
        records = {part: one.record for part, one in listed.items()}
        self._table.merge_records(trio.current_time(), records)
        self._on_changed()

    def _on_changed(self) -> None:
        self._log_changes()
        for request, wake in tuple(self._waiting):
            if self.refused_part(request) is not None:
                wake()
        for listener in self._listeners:
            listener()
        if self._port.is_home():
            self._port.report_soon()

    def _log_changes(self) -> None:
        guilty = self.guilty()
        for part in sorted(guilty.keys() - self._logged_guilty):
            record = self._table.shared_records().get(part)
            log(
                Event.PART_REFUSED,
                part=part,
                tied_with=",".join(sorted(guilty[part] - {part})),
                runners=",".join(record.runners) if record else "",
            )
        for part in sorted(self._logged_guilty - guilty.keys()):
            log(Event.PART_CLEARED, part=part)
        self._trial_use.retain(guilty)
        self._logged_guilty = frozenset(guilty)


def _parse_row(row: list) -> _Listed:
    try:
        grant = None
        if row[-1]:
            instance, number = row[-1]
            grant = TrialGrant(InstanceId(str(instance)), int(number))
    except (IndexError, TypeError, ValueError) as error:
        raise MessageError(f"not a grant of a trial: {error}") from error
    return _Listed(part_record_from_row(row[:-1]), grant)
