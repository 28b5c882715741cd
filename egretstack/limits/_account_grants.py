"""The grants of one account at its limits home: what each entry may use, and what is left."""

from collections import deque
from dataclasses import dataclass, replace
from math import ceil

from egretstack.ids import InstanceId
from egretstack.limits._messages import Grant, GrantRequest, GrantStatus
from egretstack.limits._share import MIN_BURST, NO_SHARE, Share, TokenBucket
from egretstack.limits._timing import DIRECT_TOKEN_TTL_S, HOLD_TTL_S, SLICE_TTL_S

MAX_ENTRIES = 2048
"""Entries with a grant of one account at once; more are refused until some have expired."""

_FEW_ENTRIES = 16
"""Number of entries below which sums are computed anew for each grant."""
_REFRESH_INTERVAL_S = 0.5
_REFUSED = Grant(GrantStatus.GRANTED, NO_SHARE, 0.0, 0, SLICE_TTL_S)


@dataclass(frozen=True)
class _EntryGrant:
    """The most that one entry can use until `until_s`, and what it wants."""

    serial: int
    until_s: float
    charged: Share
    want: Share


class AccountGrants:
    """The grants of one account, together within the contract; times in seconds.

    An entry is charged the most that it can use: the greater of what it was just granted (the
    answer may arrive) and what it keeps meanwhile (the answer may be lost). So the sum over the
    entries stays within the contract whichever messages arrive.
    """

    def __init__(self, granting_from_s: float) -> None:
        self.granting_from_s = granting_from_s
        self._grant_by_entry: dict[InstanceId, _EntryGrant] = {}
        self._charged = NO_SHARE
        self._fair_share = NO_SHARE
        self._refreshed_s = granting_from_s
        self._total = NO_SHARE
        # Tokens from before this home began to grant may have been spent through the old home.
        self._bucket = TokenBucket(granting_from_s)
        self._direct_in_flight: deque[tuple[float, int]] = deque()

    def is_idle(self, now_s: float) -> bool:
        """Return whether there is no grant and the bucket is full, so that no state is lost."""
        if now_s < self.granting_from_s or self._total is NO_SHARE:
            return not self._grant_by_entry
        self._refresh(now_s)
        return not self._grant_by_entry and self._bucket.level >= self._total.burst

    def record_kept(
        self, now_s: float, entry: InstanceId, serial: int, request: GrantRequest
    ) -> Grant:
        """Count what an entry keeps during the warm-up of this home; grant nothing more."""
        if self._is_rejected(entry, serial):
            return _REFUSED
        kept = request.keep.at_least(Share(slots=request.open))
        self._charge(entry, _EntryGrant(serial, now_s + SLICE_TTL_S, kept, request.want))
        return Grant(GrantStatus.WARMING, request.keep, 0.0, 0, self.granting_from_s - now_s)

    def grant(
        self, now_s: float, entry: InstanceId, serial: int, request: GrantRequest, total: Share
    ) -> Grant:
        """Grant an entry its share of what is left."""
        # A delayed query states an old state of the entry; charging that would let others have
        # what the entry holds by its newer query.
        if self._is_rejected(entry, serial):
            return _REFUSED
        self._update(now_s, total)
        left = total.remaining_after(self._charged_without(entry))
        granted = self._target_share(entry, request, total, left)
        if granted.burst < min(MIN_BURST, total.burst):
            # Arrivals are uneven: a bucket for a single token refuses requests while tokens are
            # unused in others. Such entries are served from the home's bucket, request by request.
            granted = Share(slots=granted.slots)
        charged = request.keep.at_least(Share(slots=request.open)).at_least(granted)
        self._bucket.level += request.returned
        tokens = self._bucket.remove(granted.burst - request.keep.burst)
        direct = self._grant_direct_tokens(
            now_s, request.waiting - tokens, left.burst - charged.burst
        )
        is_only_hold = is_hold(granted, direct, request.open)
        ttl_s = HOLD_TTL_S if is_only_hold else SLICE_TTL_S
        self._charge(entry, _EntryGrant(serial, now_s + ttl_s, charged, request.want))
        self._bucket.level = min(self._bucket.level, self._bucket_limit())
        wait_s = self._forecast_wait_s(request.waiting - tokens - direct, total)
        return Grant(GrantStatus.GRANTED, granted, tokens, direct, wait_s)

    def _grant_direct_tokens(self, now_s: float, wanted: float, free_burst: float) -> int:
        # Tokens in flight are in no bucket. If the bucket were refilled in their place, the
        # entries could spend a whole burst and the tokens in flight at the same time.
        limit = min(free_burst - self._in_flight(), self._bucket.level)
        direct = max(0, min(ceil(wanted), int(limit)))
        if direct:
            self._bucket.remove(float(direct))
            self._direct_in_flight.append((now_s + DIRECT_TOKEN_TTL_S, direct))
        return direct

    def _in_flight(self) -> int:
        return sum(count for _, count in self._direct_in_flight)

    def _bucket_limit(self) -> float:
        return max(0.0, self._total.remaining_after(self._charged).burst - self._in_flight())

    def _fill(self, now_s: float) -> None:
        rate = self._total.remaining_after(self._charged).rate
        # Tokens in flight limit the bucket until they expire, so it is filled up to each expiry.
        while self._direct_in_flight and self._direct_in_flight[0][0] <= now_s:
            self._bucket.fill(self._direct_in_flight[0][0], rate, self._bucket_limit())
            self._direct_in_flight.popleft()
        self._bucket.fill(now_s, rate, self._bucket_limit())

    def _update(self, now_s: float, total: Share) -> None:
        if self._total is NO_SHARE:
            self._total = total
        few = len(self._grant_by_entry) < _FEW_ENTRIES
        is_due = few or now_s >= self._refreshed_s + _REFRESH_INTERVAL_S
        if is_due:
            self._end_expired(now_s)
        self._fill(now_s)
        self._total = total
        if is_due:
            self._refresh(now_s)

    def _refresh(self, now_s: float) -> None:
        self._end_expired(now_s)
        self._fill(now_s)
        self._refreshed_s = now_s
        total = NO_SHARE
        for grant in self._grant_by_entry.values():
            total += grant.charged
        self._charged = total
        self._fair_share = self._compute_fair_share()

    def _end_expired(self, now_s: float) -> None:
        """Remove expired grants, each as of its own expiry.

        If the bucket were filled up to now under grants that expired long ago, the tokens since
        their expiry would be lost and the first request after a quiet time refused.
        """
        ended = [(grant.until_s, entry) for entry, grant in self._grant_by_entry.items()]
        for until_s, entry in sorted(row for row in ended if row[0] <= now_s):
            self._fill(until_s)
            self._charged = self._charged_without(entry)
            del self._grant_by_entry[entry]

    def _target_share(
        self, entry: InstanceId, request: GrantRequest, total: Share, left: Share
    ) -> Share:
        want = request.want.at_most(total)
        if not self._grant_by_entry.keys() <= {entry}:
            want = want.at_most(self._fair_share)
        # Slots beyond the current need are idle until they are returned. The fewer are left, the
        # fewer are granted ahead; the rest goes to entries with a waiting request.
        need = request.open + request.waiting
        ahead = max(0, left.slots - need) // 2
        target = replace(want, slots=min(want.slots, need + ahead)).at_most(left)
        # Fractions of a token in two buckets admit nothing; whole tokens lose nothing of a burst.
        return replace(target, burst=float(int(target.burst)))

    def _compute_fair_share(self) -> Share:
        wants = [grant.want for grant in self._grant_by_entry.values()]
        rate = _fair_level([want.rate for want in wants], self._total.rate)
        burst = _fair_level([want.burst for want in wants], self._total.burst)
        # Rounded up, so that the last slots are granted as well: first come, first served.
        slots = _fair_level([float(want.slots) for want in wants], float(self._total.slots))
        return Share(rate, burst, max(1, ceil(slots)))

    def _forecast_wait_s(self, missing_tokens: float, total: Share) -> float:
        free = total.remaining_after(self._charged).rate
        fair_rate = total.rate / (len(self._grant_by_entry) + 1)
        return max(0.0, missing_tokens) / max(free, fair_rate)

    def _is_rejected(self, entry: InstanceId, serial: int) -> bool:
        grant = self._grant_by_entry.get(entry)
        if grant is None:
            return len(self._grant_by_entry) >= MAX_ENTRIES
        return serial <= grant.serial

    def _charged_without(self, entry: InstanceId) -> Share:
        grant = self._grant_by_entry.get(entry)
        return self._charged if grant is None else _subtract(self._charged, grant.charged)

    def _charge(self, entry: InstanceId, grant: _EntryGrant) -> None:
        self._charged = self._charged_without(entry) + grant.charged
        self._grant_by_entry[entry] = grant


def is_hold(granted: Share, direct: int, open_now: int) -> bool:
    """Return whether a grant is a hold: it admits nothing new and only counts open requests."""
    return granted.rate == 0 and direct == 0 and 0 < open_now >= granted.slots


def _subtract(total: Share, portion: Share) -> Share:
    return Share(
        total.rate - portion.rate, total.burst - portion.burst, total.slots - portion.slots
    )


def _fair_level(wants: list[float], total: float) -> float:
    """Return the highest level per entry at which the sum is at most `total` (max-min fairness)."""
    left = total
    ordered = sorted(wants)
    for index, want in enumerate(ordered):
        each = left / (len(ordered) - index)
        if want > each:
            return each
        left -= want
    return total
