"""A lease on a duty, kept in one object of the platform; pure, with time passed in.

Times are of this process's own clock and never leave it. A holder counts its lease from before
the write that won it was sent; anyone else counts it from when it last saw the object change,
which is later. So a holder stops before another begins, whatever the clocks of both show.
"""

from dataclasses import dataclass, replace
from typing import Self

from egretstack.objectapi import Spec

LEASE_TTL_S = 15.0
RENEWALS_PER_TTL = 3
CLOCK_MARGIN_S = 1.5
"""Extra wait before a lease is taken over: clocks of two machines may run at different rates."""

NOBODY = ""


class LeaseUnreadable(Exception):
    """The object of a lease does not hold one."""


@dataclass(frozen=True)
class LeaseRecord:
    """What the object holds. `fencing` grows with each new holder, `beat` with each renewal."""

    holder: str
    fencing: int
    write_number: int
    ttl_s: float

    def spec(self) -> Spec:
        """Give the object's content."""
        return {
            "holder": self.holder,
            "fencing": self.fencing,
            "beat": self.write_number,
            "life_s": self.ttl_s,
        }

    @classmethod
    def from_spec(cls, spec: Spec) -> Self:
        """Read the object's content; raise LeaseUnreadable."""
        try:
            return cls(
                str(spec["holder"]), int(spec["fencing"]), int(spec["beat"]), float(spec["life_s"])
            )
        except (KeyError, ValueError, TypeError) as error:
            raise LeaseUnreadable(repr(error)) from error


@dataclass(frozen=True)
class LeaseWrite:
    """A write to make now: create where `version` is None, else replace that version."""

    record: LeaseRecord
    version: str | None


class Lease:
    """One process's view of one lease. `holder` differs for each start of a process."""

    def __init__(self, holder: str, life_s: float = LEASE_TTL_S) -> None:
        self._holder = holder
        self._life_s = life_s
        self._record: LeaseRecord | None = None
        self._version: str | None = None
        self._changed_s = 0.0
        self._held_from_s: float | None = None
        self._sent: tuple[LeaseRecord, float] | None = None
        self._is_read = False
        self._highest_fencing = 0
        self._last_beat = 0

    @property
    def fencing(self) -> int:
        """Give the fencing number of the lease as last seen."""
        return 0 if self._record is None else self._record.fencing

    def remaining_s(self, now_s: float) -> float:
        """Give the seconds for which this process still holds the lease; 0 if it does not."""
        if self._held_from_s is None:
            return 0.0
        return max(0.0, self._held_from_s + self._life_s - now_s)

    def holds(self, now_s: float) -> bool:
        """Tell whether this process holds the lease."""
        return self.remaining_s(now_s) > 0

    def has_unconfirmed_write(self) -> bool:
        """Tell whether a write was sent and its answer has not come; a read settles it."""
        return self._sent is not None

    def is_renewal_due(self, now_s: float) -> bool:
        """Tell whether a third of the life has passed since the last renewal."""
        return self.remaining_s(now_s) <= self._life_s * (1 - 1 / RENEWALS_PER_TTL)

    def record_read(self, now_s: float, record: LeaseRecord | None, version: str | None) -> None:
        """Note what a read of the object showed."""
        if not self._is_read or version != self._version:
            self._changed_s = now_s
        self._is_read = True
        # A store restored from an older copy holds a lower number than engines have seen.
        self._highest_fencing = max(self._highest_fencing, record.fencing if record else 0)
        self._record = record
        self._version = version
        if self._sent is not None and record == self._sent[0]:
            # The answer to the write was lost; the record can only be that write.
            self._held_from_s = self._sent[1]
        elif record is None or record.holder != self._holder:
            self._held_from_s = None
        self._sent = None

    def next_write(self, now_s: float) -> LeaseWrite | None:
        """Give the write by which to take or renew the lease now; None to wait."""
        if not self._is_read:
            return None
        if self._record is None:
            return self._taking(None)
        if self.holds(now_s):
            if not self.is_renewal_due(now_s):
                return None
            return LeaseWrite(replace(self._record, write_number=self._next_beat()), self._version)
        if not self._is_free(now_s):
            return None
        return self._taking(self._version)

    def record_sending(self, now_s: float, write: LeaseWrite) -> None:
        """Note that a write is about to be sent; its outcome may stay unknown."""
        self._sent = (write.record, now_s)

    def record_written(self, version: str) -> None:
        """Note that the write noted by `sending` was taken."""
        record, sent_s = self._sent
        self._record = record
        self._version = version
        self._changed_s = sent_s
        self._held_from_s = None if record.holder == NOBODY else sent_s
        self._sent = None

    def release(self) -> LeaseWrite | None:
        """Give the write that frees the lease for the next holder, where this one holds it."""
        if self._held_from_s is None or self._record is None:
            return None
        self._held_from_s = None
        return LeaseWrite(replace(self._record, holder=NOBODY), self._version)

    def give_up(self) -> None:
        """Stop acting on the lease: something shows that there is a newer holder."""
        self._held_from_s = None

    def _taking(self, version: str | None) -> LeaseWrite:
        fencing = self._highest_fencing + 1
        record = LeaseRecord(self._holder, fencing, self._next_beat(), self._life_s)
        return LeaseWrite(record, version)

    def _next_beat(self) -> int:
        # No two writes of a holder are alike: one that is found landed is counted from its own
        # sending, not from that of a later try, which would make the lease look longer here.
        self._last_beat += 1
        return self._last_beat

    def _is_free(self, now_s: float) -> bool:
        if self._record.holder == NOBODY:
            return True
        life_s = max(self._record.ttl_s, self._life_s)
        return now_s >= self._changed_s + life_s + CLOCK_MARGIN_S
