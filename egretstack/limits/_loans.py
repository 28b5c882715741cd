"""One account at its home: what each entry may use, and what is left."""

from collections import deque
from dataclasses import dataclass, replace
from math import ceil

from egretstack.ids import InstanceId
from egretstack.limits._messages import Grant, GrantRequest, GrantStatus
from egretstack.limits._share import MIN_BURST, NO_SHARE, Share, TokenBucket
from egretstack.limits._timing import DIRECT_TOKEN_TTL_S, HOLD_TTL_S, SLICE_TTL_S

MAX_ENTRIES = 2048
"""Entries that one account is lent to at once; more are refused until some have ended."""

_FEW = 16
_REFRESH_S = 0.5
_REFUSED = Grant(GrantStatus.GRANTED, NO_SHARE, 0.0, 0, SLICE_TTL_S)


@dataclass(frozen=True)
class _Loan:
    """What one entry may use at most until `until_s`, and what it would like."""

    serial: int
    until_s: float
    charged: Share
    want: Share


class Loans:
    """The loans of one account, all within the contract; times in seconds.

    What an entry is charged with is the most it can use: the greater of what it has just been
    granted (the answer may arrive) and what it keeps meanwhile (the answer may be lost). So the
    sum over the entries stays within the contract whichever messages arrive.
    """

    def __init__(self, open_s: float) -> None:
        self.open_s = open_s
        self._loan_by_entry: dict[InstanceId, _Loan] = {}
        self._total = NO_SHARE
        self._fair = NO_SHARE
        self._refresh_s = open_s
        self._whole = NO_SHARE
        # Tokens from before the opening may have been spent through the old home.
        self._bucket = TokenBucket(open_s)
        self._flights: deque[tuple[float, int]] = deque()

    def is_idle(self, now_s: float) -> bool:
        """Tell whether nothing is lent and all tokens are back, so that nothing is forgotten."""
        if now_s < self.open_s or self._whole is NO_SHARE:
            return not self._loan_by_entry
        self._refresh(now_s)
        return not self._loan_by_entry and self._bucket.level >= self._whole.burst

    def keep(self, now_s: float, entry: InstanceId, serial: int, row: GrantRequest) -> Grant:
        """Let an entry keep what it has while this home is new; lend nothing more."""
        if self._is_late(entry, serial):
            return _REFUSED
        kept = row.keep.at_least(Share(slots=row.open))
        self._charge(entry, _Loan(serial, now_s + SLICE_TTL_S, kept, row.want))
        return Grant(GrantStatus.WARMING, row.keep, 0.0, 0, self.open_s - now_s)

    def lend(
        self, now_s: float, entry: InstanceId, serial: int, row: GrantRequest, whole: Share
    ) -> Grant:
        """Lend an entry its part of what is left."""
        # An ask that was delayed on the way tells of a past state of the entry; charging that
        # would let others have what the entry holds by its newer ask.
        if self._is_late(entry, serial):
            return _REFUSED
        self._settle(now_s, whole)
        left = whole.left_after(self._total_without(entry))
        granted = self._target(entry, row, whole, left)
        if granted.burst < min(MIN_BURST, whole.burst):
            # Arrivals are uneven: a bucket that holds one token refuses while tokens lie unused
            # in the others. Such entries are served from the home's bucket, request by request.
            granted = Share(slots=granted.slots)
        charged = row.keep.at_least(Share(slots=row.open)).at_least(granted)
        self._bucket.level += row.returned
        tokens = self._bucket.take(granted.burst - row.keep.burst)
        direct = self._direct(now_s, row.waiting - tokens, left.burst - charged.burst)
        holds = only_holds(granted, direct, row.open)
        life_s = HOLD_TTL_S if holds else SLICE_TTL_S
        self._charge(entry, _Loan(serial, now_s + life_s, charged, row.want))
        self._bucket.level = min(self._bucket.level, self._bound())
        wait_s = self._wait(row.waiting - tokens - direct, whole)
        return Grant(GrantStatus.GRANTED, granted, tokens, direct, wait_s)

    def _direct(self, now_s: float, wanted: float, room: float) -> int:
        # Tokens under way are in no bucket. Were the bucket filled up behind them, the entries
        # could spend a whole burst and what was under way at one time.
        most = min(room - self._under_way(), self._bucket.level)
        direct = max(0, min(ceil(wanted), int(most)))
        if direct:
            self._bucket.take(float(direct))
            self._flights.append((now_s + DIRECT_TOKEN_TTL_S, direct))
        return direct

    def _under_way(self) -> int:
        return sum(count for _, count in self._flights)

    def _bound(self) -> float:
        return max(0.0, self._whole.left_after(self._total).burst - self._under_way())

    def _fill(self, now_s: float) -> None:
        rate = self._whole.left_after(self._total).rate
        # Up to the end of each flight the bucket was bounded by it, also when nobody looked.
        while self._flights and self._flights[0][0] <= now_s:
            self._bucket.fill(self._flights[0][0], rate, self._bound())
            self._flights.popleft()
        self._bucket.fill(now_s, rate, self._bound())

    def _settle(self, now_s: float, whole: Share) -> None:
        if self._whole is NO_SHARE:
            self._whole = whole
        few = len(self._loan_by_entry) < _FEW
        is_due = few or now_s >= self._refresh_s + _REFRESH_S
        if is_due:
            self._end_loans(now_s)
        self._fill(now_s)
        self._whole = whole
        if is_due:
            self._refresh(now_s)

    def _refresh(self, now_s: float) -> None:
        self._end_loans(now_s)
        self._fill(now_s)
        self._refresh_s = now_s
        total = NO_SHARE
        for loan in self._loan_by_entry.values():
            total += loan.charged
        self._total = total
        self._fair = self._fair_share()

    def _end_loans(self, now_s: float) -> None:
        """Take the loans that have ended out, each at its own end.

        Were the bucket filled up to now under loans that ended long ago, the tokens since their
        end would be lost, and the first request after a quiet time refused.
        """
        ended = [(loan.until_s, entry) for entry, loan in self._loan_by_entry.items()]
        for until_s, entry in sorted(row for row in ended if row[0] <= now_s):
            self._fill(until_s)
            self._total = self._total_without(entry)
            del self._loan_by_entry[entry]

    def _target(self, entry: InstanceId, row: GrantRequest, whole: Share, left: Share) -> Share:
        want = row.want.at_most(whole)
        if not self._loan_by_entry.keys() <= {entry}:
            want = want.at_most(self._fair)
        # Slots beyond the need lie idle until they are given back; the fewer there are, the
        # fewer are lent ahead, and the rest goes to whoever has a request waiting.
        need = row.open + row.waiting
        ahead = max(0, left.slots - need) // 2
        target = replace(want, slots=min(want.slots, need + ahead)).at_most(left)
        # Two fractions of a token in two buckets admit nothing; whole ones lose none of a burst.
        return replace(target, burst=float(int(target.burst)))

    def _fair_share(self) -> Share:
        wants = [loan.want for loan in self._loan_by_entry.values()]
        rate = _fair_level([want.rate for want in wants], self._whole.rate)
        burst = _fair_level([want.burst for want in wants], self._whole.burst)
        # Rounded up, so that the last slots are lent as well: first come, first served.
        slots = _fair_level([float(want.slots) for want in wants], float(self._whole.slots))
        return Share(rate, burst, max(1, ceil(slots)))

    def _wait(self, lacking: float, whole: Share) -> float:
        free = whole.left_after(self._total).rate
        part = whole.rate / (len(self._loan_by_entry) + 1)
        return max(0.0, lacking) / max(free, part)

    def _is_late(self, entry: InstanceId, serial: int) -> bool:
        loan = self._loan_by_entry.get(entry)
        if loan is None:
            return len(self._loan_by_entry) >= MAX_ENTRIES
        return serial <= loan.serial

    def _total_without(self, entry: InstanceId) -> Share:
        loan = self._loan_by_entry.get(entry)
        return self._total if loan is None else _less(self._total, loan.charged)

    def _charge(self, entry: InstanceId, loan: _Loan) -> None:
        self._total = self._total_without(entry) + loan.charged
        self._loan_by_entry[entry] = loan


def only_holds(granted: Share, direct: int, open_now: int) -> bool:
    """Tell whether a grant admits nothing new and only counts what is open."""
    return granted.rate == 0 and direct == 0 and 0 < open_now >= granted.slots


def _less(total: Share, part: Share) -> Share:
    return Share(total.rate - part.rate, total.burst - part.burst, total.slots - part.slots)


def _fair_level(wants: list[float], whole: float) -> float:
    """Give the most that one may have so that all together have at most `whole` (max-min)."""
    left = whole
    ordered = sorted(wants)
    for index, want in enumerate(ordered):
        each = left / (len(ordered) - index)
        if want > each:
            return each
        left -= want
    return whole
