"""A lease on a duty, stored in one object of the platform. No I/O; the time is passed in.

Times are of this process's own clock and are never sent. A holder counts its lease from before it
sent the write that acquired or renewed it. Any other process counts it from when it last saw the
object change, which is later. So a holder stops before another starts, whatever their clocks show.
"""

from dataclasses import dataclass, replace
from typing import Self

from egretstack.objectapi import Spec

LEASE_TTL_S = 15.0
RENEWALS_PER_TTL = 3
CLOCK_MARGIN_S = 1.5
"""Extra wait before a lease is taken over: clocks of two machines may run at different rates."""

NO_HOLDER = ""


class LeaseUnreadable(Exception):
    """The object of a lease does not contain a valid lease."""


@dataclass(frozen=True)
class LeaseRecord:
    """The contents of a lease's object.

    `fencing` grows with each new holder, `write_number` with each write of a holder.
    """

    holder: str
    fencing: int
    write_number: int
    ttl_s: float

    def spec(self) -> Spec:
        """Return the object's content."""
        return {
            "holder": self.holder,
            "fencing": self.fencing,
            "beat": self.write_number,
            "life_s": self.ttl_s,
        }

    @classmethod
    def from_spec(cls, spec: Spec) -> Self:
        """Parse the object's content; raise LeaseUnreadable."""
        try:
            return cls(
                str(spec["holder"]), int(spec["fencing"]), int(spec["beat"]), float(spec["life_s"])
            )
        except (KeyError, ValueError, TypeError) as error:
            raise LeaseUnreadable(repr(error)) from error


@dataclass(frozen=True)
class LeaseWrite:
    """A write to make now: create the object if `version` is None, else replace that version."""

    record: LeaseRecord
    version: str | None


class Lease:
    """One process's view of one lease. `holder` is different for each start of a process."""

    def __init__(self, holder: str, ttl_s: float = LEASE_TTL_S) -> None:
        self._holder = holder
        self._ttl_s = ttl_s
        self._record: LeaseRecord | None = None
        self._version: str | None = None
        self._changed_at_s = 0.0
        self._held_from_s: float | None = None
        self._unconfirmed: tuple[LeaseRecord, float] | None = None
        self._was_read = False
        self._highest_fencing = 0
        self._last_write_number = 0

    @property
    def fencing(self) -> int:
        """Return the fencing number of the lease as last read or written."""
        return 0 if self._record is None else self._record.fencing

    def remaining_s(self, now_s: float) -> float:
        """Return the seconds for which this process still holds the lease; 0 if it does not."""
        if self._held_from_s is None:
            return 0.0
        return max(0.0, self._held_from_s + self._ttl_s - now_s)

    def holds(self, now_s: float) -> bool:
        """Return whether this process holds the lease."""
        return self.remaining_s(now_s) > 0

    def has_unconfirmed_write(self) -> bool:
        """Return whether a write was sent whose outcome is unknown; a read resolves it."""
        return self._unconfirmed is not None

    def is_renewal_due(self, now_s: float) -> bool:
        """Return whether a third of the time to live has passed since the last renewal."""
        return self.remaining_s(now_s) <= self._ttl_s * (1 - 1 / RENEWALS_PER_TTL)

    def record_read(self, now_s: float, record: LeaseRecord | None, version: str | None) -> None:
        """Record the result of a read of the object."""
        if not self._was_read or version != self._version:
            self._changed_at_s = now_s
        self._was_read = True
        # A store that was restored from a backup has a lower number than the engines have seen.
        self._highest_fencing = max(self._highest_fencing, record.fencing if record else 0)
        self._record = record
        self._version = version
        if self._unconfirmed is not None and record == self._unconfirmed[0]:
            # The answer to the write was lost, but the write was applied: no other write has an
            # equal record.
            self._held_from_s = self._unconfirmed[1]
        elif record is None or record.holder != self._holder:
            self._held_from_s = None
        self._unconfirmed = None

    def next_write(self, now_s: float) -> LeaseWrite | None:
        """Return the write that acquires or renews the lease now; None to wait."""
        if not self._was_read:
            return None
        if self._record is None:
            return self._acquiring_write(None)
        if self.holds(now_s):
            if not self.is_renewal_due(now_s):
                return None
            return LeaseWrite(
                replace(self._record, write_number=self._next_write_number()), self._version
            )
        if not self._is_free(now_s):
            return None
        return self._acquiring_write(self._version)

    def record_sending(self, now_s: float, write: LeaseWrite) -> None:
        """Record that a write is about to be sent; its outcome may stay unknown."""
        self._unconfirmed = (write.record, now_s)

    def record_written(self, version: str) -> None:
        """Record that the write passed to `record_sending` was applied."""
        record, sent_s = self._unconfirmed
        self._record = record
        self._version = version
        self._changed_at_s = sent_s
        self._held_from_s = None if record.holder == NO_HOLDER else sent_s
        self._unconfirmed = None

    def release(self) -> LeaseWrite | None:
        """Return the write that frees the lease for the next holder; None if it isn't held here."""
        if self._held_from_s is None or self._record is None:
            return None
        self._held_from_s = None
        return LeaseWrite(replace(self._record, holder=NO_HOLDER), self._version)

    def give_up(self) -> None:
        """Stop acting as the holder: there is evidence of a newer one."""
        self._held_from_s = None

    def _acquiring_write(self, version: str | None) -> LeaseWrite:
        fencing = self._highest_fencing + 1
        record = LeaseRecord(self._holder, fencing, self._next_write_number(), self._ttl_s)
        return LeaseWrite(record, version)

    def _next_write_number(self) -> int:
        # Each write of a holder is unique. When a read finds an unconfirmed write applied, the
        # lease is counted from when that write was sent, not from a later retry: counted from the
        # retry, the lease would look longer here than to the other processes.
        self._last_write_number += 1
        return self._last_write_number

    def _is_free(self, now_s: float) -> bool:
        if self._record.holder == NO_HOLDER:
            return True
        ttl_s = max(self._record.ttl_s, self._ttl_s)
        return now_s >= self._changed_at_s + ttl_s + CLOCK_MARGIN_S
