"""The strikes against parts of prompts that one instance knows, and proofs that parts are sound.

Does no I/O; the time is passed in.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from egretstack.crashes._part_record import PartRecord, ends_in_order
from egretstack.crashes._part_strikes import PartStrike, StruckParts, chain
from egretstack.crashes._part_verdict import RecentRuns, SuspectPart, find_guilty
from egretstack.ids import AttemptId, PartId, RunnerId

MAX_SUSPECTS = 256
"""Maximum number of parts with strikes, some 80 bytes each on the wire. The least suspected are
dropped first."""
MAX_STRIKES = 16
"""Maximum number of strikes against one part; it is found guilty long before that."""
MAX_PROOFS = 4096
GUILTY_TTL_S = 3600.0
"""Time without another strike after which a guilty part is tried again."""
SUSPECT_TTL_S = 300.0
"""The same for a part that is not guilty."""
TRIAL_AFTER_S = 10.0
"""Time without another strike after which one request with a guilty part is let through, once."""
RECENT_S = 30.0
"""Time for which the outcome of a run tells how often runners end by themselves."""


@dataclass(slots=True)
class _Suspect:
    strike_by_runner: dict[RunnerId, PartStrike] = field(default_factory=dict)
    is_confirmed: bool = False
    """Whether a runner ended under it long after it was found guilty."""
    is_own: bool = False

    def last_s(self) -> float:
        return max((one.ended_s for one in self.strike_by_runner.values()), default=float("-inf"))

    def chain_length(self) -> int:
        return len(chain(self.strike_by_runner.values()))


class PartTable:
    """Strikes and proofs by part."""

    def __init__(self) -> None:
        self._suspect_by_part: dict[PartId, _Suspect] = {}
        self._proven_s_by_part: OrderedDict[PartId, float] = OrderedDict()
        """When the latest run that proved a part began to write."""
        self._broken_by_runner: dict[RunnerId, tuple[float, set[AttemptId]]] = {}
        """When runners ended lately, and the runs that had just begun there."""
        self.recently_proven: Callable[[], int] = int
        """Returns how many runs of the whole fleet proved their parts in `RECENT_S`."""
        self.is_settling = False
        """Whether proofs of other instances may be missing still: no part is found guilty anew."""
        self.guilty: Mapping[PartId, frozenset[PartId]] = {}
        """The guilty parts, each with those that it is tied with."""

    def __len__(self) -> int:
        return len(self._suspect_by_part)

    def proven_s(self, part: PartId) -> float | None:
        """Return when the latest run that proved a part sound began; None if none is known."""
        return self._proven_s_by_part.get(part)

    def suspects(self) -> dict[PartId, SuspectPart]:
        """Return the parts that have strikes since they were last proven sound."""
        return {
            part: SuspectPart(
                tuple(suspect.strike_by_runner.values()),
                part in self._proven_s_by_part,
                suspect.is_own,
            )
            for part, suspect in self._suspect_by_part.items()
        }

    def record_strike(self, parts: StruckParts, strike: PartStrike) -> bool:
        """Record that a runner ended as a run with these parts began; return whether it is new."""
        _, runs = self._broken_by_runner.setdefault(strike.runner, (strike.ended_s, set()))
        runs.add(strike.attempt)
        changed = [part for part in parts.shared if self._add(part, strike)]
        if self._add(parts.own, strike):
            self._suspect_by_part[parts.own].is_own = True
            changed.append(parts.own)
        if changed:
            self._drop_least_suspected()
            self._judge()
        return bool(changed)

    def record_proof(
        self, parts: Iterable[PartId], began_s: float, own: PartId | None = None
    ) -> bool:
        """Record that a run with these parts, which began to write at a time, did not crash.

        Returns whether that refuted strikes.
        """
        # Requests are many and come once: only those with strikes are worth remembering.
        parts = (*parts, own) if own in self._suspect_by_part else tuple(parts)
        changed = [part for part in parts if self._prove(part, began_s)]
        while len(self._proven_s_by_part) > MAX_PROOFS:
            self._proven_s_by_part.popitem(last=False)
        if changed:
            self._judge()
        return bool(changed)

    def shared_records(self) -> dict[PartId, PartRecord]:
        """Return the records for all instances; any of them may get an answer or a broken run."""
        return {part: self._record(part) for part in self._suspect_by_part}

    def durable_records(self) -> dict[PartId, PartRecord]:
        """Return the records that have to survive the end of all processes: the guilty parts'."""
        return {part: self._record(part) for part in self.guilty}

    def merge_records(self, now_s: float, records: Mapping[PartId, PartRecord]) -> bool:
        """Add the records of a home or the store; return whether anything changed.

        Their times are not known; what they hold came before all that will follow.
        """
        before = self.shared_records()
        for part, record in records.items():
            self._merge(now_s, part, record)
        found = {part: one.tied_with for part, one in records.items() if one.tied_with}
        self.guilty = found | dict(self.guilty)
        self._drop_least_suspected()
        self._judge()
        return self.shared_records() != before

    def _merge(self, now_s: float, part: PartId, record: PartRecord) -> None:
        if record.was_proven:
            self._proven_s_by_part.setdefault(part, float("-inf"))
        suspect = self._suspect_by_part.setdefault(part, _Suspect())
        suspect.is_confirmed = suspect.is_confirmed or record.is_confirmed
        suspect.is_own = suspect.is_own or record.is_own
        known = suspect.strike_by_runner
        for index, runners in enumerate(record.ends):
            sent_s = now_s - 2 * (len(record.ends) - index)
            for runner in runners:
                if runner not in known and len(known) < MAX_STRIKES:
                    known[runner] = PartStrike(runner, sent_s, sent_s + 1)
        if not known:
            del self._suspect_by_part[part]

    def _record(self, part: PartId) -> PartRecord:
        suspect = self._suspect_by_part[part]
        return PartRecord(
            ends_in_order(suspect.strike_by_runner.values()),
            part in self._proven_s_by_part,
            suspect.is_confirmed,
            suspect.is_own,
            self.guilty.get(part, frozenset()),
        )

    def trials_due(self, now_s: float) -> list[PartId]:
        """Return the guilty parts, one of each group, with which one request should be tried."""
        return [
            part
            for part, group in self.guilty.items()
            if part == min(group)
            and not self._suspect_by_part[part].is_confirmed
            and now_s - self._suspect_by_part[part].last_s() >= TRIAL_AFTER_S
        ]

    def runners_ended_under(self, part: PartId) -> Collection[RunnerId]:
        """Return the runners that ended under a part since it was last proven sound."""
        suspect = self._suspect_by_part.get(part)
        return () if suspect is None else suspect.strike_by_runner.keys()

    def is_suspected(self, parts: Iterable[PartId]) -> bool:
        """Return whether a part has strikes that no proof has refuted."""
        return any(part in self._suspect_by_part for part in parts)

    def clear(self, part: PartId, now_s: float) -> None:
        """Take a part, and those that it is tied with, for sound until now."""
        self.record_proof(self.guilty.get(part, (part,)), now_s)

    def settle(self) -> None:
        """Find parts guilty from now on."""
        self.is_settling = False
        self._judge()

    def forget(self, parts: Iterable[PartId]) -> None:
        """Forget the strikes against some parts."""
        if [part for part in parts if self._suspect_by_part.pop(part, None) is not None]:
            self._judge()

    def forget_expired(self, now_s: float) -> bool:
        """Forget strikes that are too old; return whether there were any."""
        expired = [
            part
            for part, suspect in self._suspect_by_part.items()
            if now_s - suspect.last_s() > (GUILTY_TTL_S if part in self.guilty else SUSPECT_TTL_S)
        ]
        if expired:
            self.forget(expired)
        return bool(expired)

    def _add(self, part: PartId, strike: PartStrike) -> bool:
        if strike.sent_s <= self._proven_s_by_part.get(part, float("-inf")):
            return False
        suspect = self._suspect_by_part.setdefault(part, _Suspect())
        known = suspect.strike_by_runner
        if strike.runner in known:
            return False
        confirms = part in self.guilty and strike.sent_s - suspect.last_s() >= TRIAL_AFTER_S
        suspect.is_confirmed = suspect.is_confirmed or confirms
        if len(known) < MAX_STRIKES:
            known[strike.runner] = strike
        return True

    def _prove(self, part: PartId, began_s: float) -> bool:
        began_s = max(began_s, self._proven_s_by_part.get(part, float("-inf")))
        self._proven_s_by_part[part] = began_s
        self._proven_s_by_part.move_to_end(part)
        suspect = self._suspect_by_part.get(part)
        if suspect is None:
            return False
        refuted = [one.runner for one in suspect.strike_by_runner.values() if one.sent_s <= began_s]
        for runner in refuted:
            del suspect.strike_by_runner[runner]
        if not suspect.strike_by_runner:
            del self._suspect_by_part[part]
        return bool(refuted)

    def _judge(self) -> None:
        found = find_guilty(self.suspects(), self._recent_runs(), self.guilty)
        if self.is_settling:
            found = {part: group for part, group in found.items() if part in self.guilty}
        self.guilty = found

    def _recent_runs(self) -> RecentRuns:
        """Return the outcomes up to the latest end."""
        last_s = max((ended_s for ended_s, _ in self._broken_by_runner.values()), default=0.0)
        for runner, (ended_s, _) in list(self._broken_by_runner.items()):
            if last_s - ended_s > RECENT_S:
                del self._broken_by_runner[runner]
        broken_by_runner = {
            runner: len(runs) for runner, (_, runs) in self._broken_by_runner.items()
        }
        return RecentRuns(self.recently_proven(), broken_by_runner)

    def _drop_least_suspected(self) -> None:
        excess = len(self._suspect_by_part) - MAX_SUSPECTS
        if excess > 0:
            for part in sorted(self._suspect_by_part, key=self._suspicion)[:excess]:
                del self._suspect_by_part[part]

    def _suspicion(self, part: PartId) -> tuple[bool, int, float]:
        suspect = self._suspect_by_part[part]
        return part in self.guilty, suspect.chain_length(), suspect.last_s()
