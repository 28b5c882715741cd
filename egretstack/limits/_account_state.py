"""The state of one account on one entry: its slice, open requests and demand."""

from dataclasses import dataclass, replace
from enum import Enum
from math import ceil, inf

from egretstack.ids import AccountId, InstanceId
from egretstack.limits._account_grants import is_hold
from egretstack.limits._demand import DemandMeter
from egretstack.limits._messages import Grant, GrantRequest, GrantStatus
from egretstack.limits._share import MIN_BURST, NO_SHARE, Share, TokenBucket
from egretstack.limits._timing import (
    DIRECT_TOKEN_TTL_S,
    HOLD_RENEW_S,
    HOLD_TTL_S,
    IDLE_TIMEOUT_S,
    MAX_READY_WAIT_S,
    MIN_QUERY_INTERVAL_S,
    QUERY_BACKOFF_S,
    SLICE_RENEW_S,
    SLICE_TTL_S,
)

_RATE_HEADROOM = 1.5
_SLOT_HEADROOM = 1.25
_SPARE_SLOTS = 2
_CLOSE_SMOOTHING = 0.2


@dataclass(frozen=True)
class PendingGrantRequest:
    """What an entry stated in one query about one account, kept until the answer."""

    sent_s: float
    open: int
    waiting: int
    keep: Share
    want: Share
    returned: float
    total: Share

    def grant_request(self, account: AccountId) -> GrantRequest:
        """Return the grant request to send."""
        return GrantRequest(account, self.open, self.waiting, self.keep, self.want, self.returned)


class Mode(Enum):
    """By what an entry admits the requests of an account.

    SLICE is a valid grant, FALLBACK the conservative share while no home answers, COLD neither.
    """

    SLICE = "slice"
    FALLBACK = "fallback"
    COLD = "cold"


class AccountState:
    """What an entry knows about one account; times in seconds on the runtime's clock.

    The entry counts the time to live of a slice from sending the query. The home counts it from
    receiving the query, which is later. So a slice has expired here before the home grants the
    same limits again, however late its answer arrived.
    """

    def __init__(self, now_s: float, total: Share) -> None:
        self.total = total
        self.granted = NO_SHARE
        self.granted_until_s = -inf
        self.home: InstanceId | None = None
        self.open = 0
        self.waiting = 0
        self.fallback = False
        self.next_query_s = -inf
        self.query_due_s = inf
        self.close_interval_s: float | None = None
        self.token_wait_s = SLICE_TTL_S
        self._total_at_grant = total
        self._bucket = TokenBucket(now_s)
        self._direct_tokens = 0
        self._direct_until_s = -inf
        self._fallback_bucket: TokenBucket | None = None
        self._failures = 0
        self._is_contested = False
        self._queried_s = -inf
        self._answered_s = -inf
        self._demand = DemandMeter(now_s)
        self._closed_s: float | None = None

    def mode(self, now_s: float) -> Mode:
        """Return by what requests are admitted now."""
        if now_s < self.granted_until_s:
            return Mode.SLICE
        return Mode.FALLBACK if self.fallback else Mode.COLD

    def slice_share(self, now_s: float) -> Share:
        """Return the slice, reduced to the contract in force; empty once it has expired."""
        if now_s >= self.granted_until_s:
            return NO_SHARE
        return self.granted.scaled(self._total_at_grant, self.total).at_most(self.total)

    def available_tokens(self, now_s: float, mode: Mode, conservative: Share) -> float:
        """Return the number of tokens for requests now in an admission mode."""
        bucket = self._filled_bucket(now_s, mode, conservative)
        return bucket.level + self._current_direct_tokens(now_s)

    def spend_token(self, now_s: float, mode: Mode, conservative: Share) -> None:
        """Spend one token."""
        if self._current_direct_tokens(now_s):
            self._direct_tokens -= 1
        else:
            self._filled_bucket(now_s, mode, conservative).remove(1.0)

    def _current_direct_tokens(self, now_s: float) -> int:
        # The home counts tokens for waiting requests only for as long as they may be in flight.
        if now_s > self._direct_until_s:
            self._direct_tokens = 0
        return self._direct_tokens

    def _filled_bucket(self, now_s: float, mode: Mode, conservative: Share) -> TokenBucket:
        if self._fallback_bucket is None:
            self._fallback_bucket = TokenBucket(now_s, conservative.burst)
        # The fallback bucket is kept in all modes: one that starts full at each loss of the home
        # would allow a burst each time.
        self._fallback_bucket.fill(now_s, conservative.rate, conservative.burst)
        if mode is Mode.FALLBACK:
            return self._fallback_bucket
        self.fill_bucket(now_s)
        return self._bucket

    def fill_bucket(self, now_s: float) -> None:
        """Fill the slice's bucket up to now."""
        share = self.slice_share(now_s)
        if share is NO_SHARE:
            self._bucket.fill(now_s, 0.0, 0.0)
            return
        self._bucket.fill(now_s, share.rate, share.burst)

    def record_arrival(self, now_s: float) -> None:
        """Record a request, admitted or not."""
        self._demand.record_arrival(now_s)
        self.query_due_s = min(self.query_due_s, now_s + SLICE_RENEW_S)

    def forget_old_failure(self, now_s: float) -> None:
        """Forget a failure of the home older than any slice, so that the home is queried first."""
        if now_s - max(self._queried_s, self._demand.last_arrival_s) > SLICE_TTL_S:
            self.fallback = False
            self._failures = 0

    def record_open(self) -> None:
        """Record that a request was admitted."""
        self.open += 1
        self._demand.record_open(self.open)

    def record_close(self, now_s: float) -> None:
        """Record that a request ended."""
        self.open -= 1
        if self._closed_s is not None:
            interval_s = now_s - self._closed_s
            previous_s = interval_s if self.close_interval_s is None else self.close_interval_s
            self.close_interval_s = previous_s + _CLOSE_SMOOTHING * (interval_s - previous_s)
        self._closed_s = now_s
        is_half_idle_hold = self.granted.rate == 0 and 2 * self.open <= self.granted.slots
        if is_half_idle_hold or self._is_contested:
            # The next renewal may be far off, and other entries may wait for these slots.
            self.query_due_s = min(self.query_due_s, now_s + MIN_QUERY_INTERVAL_S)

    def is_idle(self, now_s: float) -> bool:
        """Return whether the account's state can be dropped without effect."""
        full_s = self.total.burst / self.total.rate
        quiet = now_s - self._demand.last_arrival_s > IDLE_TIMEOUT_S + full_s
        return quiet and not self.open and not self.waiting and now_s >= self.granted_until_s

    def make_request(self, now_s: float, conservative: Share) -> PendingGrantRequest:
        """Reduce the slice to what this entry keeps and return its grant request."""
        want = self._wanted_share(now_s)
        returned = 0.0
        if self.mode(now_s) is Mode.SLICE:
            self.fill_bucket(now_s)
            # From here on the home may grant everything above `keep` to others.
            self.granted = self.slice_share(now_s).at_most(self._share_to_keep(want))
            self._total_at_grant = self.total
            returned = self._bucket.remove(max(0.0, self._bucket.level - self.granted.burst))
            keep = self.granted
        else:
            keep = NO_SHARE
        if self.fallback:
            keep = keep.at_least(conservative)
        self._queried_s = now_s
        self.query_due_s = inf
        return PendingGrantRequest(now_s, self.open, self.waiting, keep, want, returned, self.total)

    def on_answer(self, now_s: float, pending: PendingGrantRequest, grant: Grant) -> None:
        """Apply the home's answer."""
        self._failures = 0
        self._answered_s = now_s
        self.token_wait_s = grant.wait_s
        if grant.status is GrantStatus.GRANTED:
            self._apply_grant(now_s, pending, grant)
        else:
            self._apply_refusal(now_s, pending, grant)

    def on_failure(self, now_s: float) -> None:
        """Record that the home did not answer."""
        pause_s = QUERY_BACKOFF_S[min(self._failures, len(QUERY_BACKOFF_S) - 1)]
        self._failures += 1
        self.fallback = True
        self.next_query_s = now_s + pause_s
        self.query_due_s = now_s + pause_s if self._needs_slice(now_s) else inf

    def on_wait_timeout(self, now_s: float) -> None:
        """Record that a request waited MAX_READY_WAIT_S for the home."""
        # A home that answered meanwhile but granted too little has granted the rest to others.
        if now_s - self._answered_s >= MAX_READY_WAIT_S:
            self.fallback = True

    def _apply_grant(self, now_s: float, pending: PendingGrantRequest, grant: Grant) -> None:
        is_only_hold = is_hold(grant.share, grant.direct_tokens, pending.open)
        until_s = pending.sent_s + (HOLD_TTL_S if is_only_hold else SLICE_TTL_S)
        if now_s >= until_s:
            return
        self.fill_bucket(now_s)
        if now_s >= self.granted_until_s:
            self._bucket.remove(inf)
        self._bucket.level += grant.tokens
        self._move_fallback_tokens(pending, grant.share.burst)
        end_s = pending.sent_s + DIRECT_TOKEN_TTL_S
        self._direct_until_s = (
            min(end_s, self._direct_until_s) if self._current_direct_tokens(now_s) else end_s
        )
        self._direct_tokens += grant.direct_tokens
        self.granted = grant.share
        self._is_contested = grant.share.slots < pending.want.slots
        self._total_at_grant = pending.total
        self.granted_until_s = until_s
        was_fallback, self.fallback = self.fallback, False
        self.next_query_s = (
            now_s + MIN_QUERY_INTERVAL_S if self._is_home_exhausted(pending, grant) else now_s
        )
        renew_s = HOLD_RENEW_S if is_only_hold else SLICE_RENEW_S
        self.query_due_s = pending.sent_s + renew_s if self._needs_slice(now_s) else inf
        if was_fallback and pending.keep.burst > grant.share.burst:
            # The home counts all that was kept as used until a query states less. If every
            # entry kept its share, that is the whole contract, and no entry would get a token.
            self.query_due_s = min(self.query_due_s, now_s + MIN_QUERY_INTERVAL_S)

    def _move_fallback_tokens(self, pending: PendingGrantRequest, max_tokens: float) -> None:
        # A new home starts with an empty bucket and gives tokens only for the burst above `keep`,
        # so a caller that was served by the conservative share until now would be refused. Tokens
        # are moved from that share's bucket; none are created.
        if self.fallback and pending.keep.burst and self._fallback_bucket is not None:
            self._bucket.level += self._fallback_bucket.remove(max_tokens - self._bucket.level)

    def _is_home_exhausted(self, pending: PendingGrantRequest, grant: Grant) -> bool:
        slots = grant.share.slots
        if slots < pending.open + pending.waiting or slots >= self.total.slots:
            return True
        return grant.tokens + grant.direct_tokens < pending.waiting

    def _apply_refusal(self, now_s: float, pending: PendingGrantRequest, grant: Grant) -> None:
        warming = grant.status is GrantStatus.WARMING
        if warming and pending.sent_s < self.granted_until_s and pending.keep is not NO_SHARE:
            # A new home grants nothing yet, but it has counted what this entry keeps.
            self.granted_until_s = max(self.granted_until_s, pending.sent_s + SLICE_TTL_S)
        self.fallback = True
        self.next_query_s = now_s + MIN_QUERY_INTERVAL_S
        pause_s = (
            MIN_QUERY_INTERVAL_S
            if not warming
            else min(SLICE_RENEW_S, max(MIN_QUERY_INTERVAL_S, grant.wait_s))
        )
        self.query_due_s = now_s + pause_s if self._needs_slice(now_s) else inf

    def _needs_slice(self, now_s: float) -> bool:
        if self.open or self.waiting:
            return True
        if self._demand.is_low:
            return False
        has_rate = self.granted.rate > 0 and now_s < self.granted_until_s
        return has_rate or now_s - self._demand.last_arrival_s < SLICE_RENEW_S

    def _wanted_share(self, now_s: float) -> Share:
        self._demand.update(now_s, self.open)
        # Limits granted to an entry that receives no answers are of no use to anyone.
        if self._failures > 1:
            return Share(slots=self.open)
        if self._demand.is_low:
            return Share(burst=min(1.0, self.waiting), slots=self.open + self.waiting)
        rate = self._demand.rate * _RATE_HEADROOM
        slots = (
            ceil(max(self._demand.peak_open, self.open) * _SLOT_HEADROOM)
            + self.waiting
            + _SPARE_SLOTS
        )
        return Share(rate, float(ceil(max(MIN_BURST, rate))), slots).at_most(
            self.total.at_least(Share(slots=self.open))
        )

    def _share_to_keep(self, want: Share) -> Share:
        # If the home had too few slots, idle ones are returned immediately.
        needed = self.open + self.waiting
        return replace(want, slots=needed) if self._is_contested else want
