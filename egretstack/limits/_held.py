"""One account on one entry: the slice held, the requests open, and the demand seen."""

from dataclasses import dataclass, replace
from enum import Enum
from math import ceil, inf

from egretstack.ids import AccountId, InstanceId
from egretstack.limits._demand import Demand
from egretstack.limits._loans import only_holds
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
class Asked:
    """What an entry stated in one ask about one account, kept until the answer."""

    sent_s: float
    open: int
    waiting: int
    keep: Share
    want: Share
    returned: float
    whole: Share

    def row(self, account: AccountId) -> GrantRequest:
        """Give the row of the ask."""
        return GrantRequest(account, self.open, self.waiting, self.keep, self.want, self.returned)


class Mode(Enum):
    """By what an entry admits requests of an account."""

    SLICE = "slice"
    FALLBACK = "fallback"
    COLD = "cold"


class Held:
    """What an entry knows of one account; times in seconds of the runtime's clock.

    The slice's life is counted from when the ask was sent. The home counts from when it received
    the ask, which is later, so a slice has ended here before the home lends it again, however
    late its answer came.
    """

    def __init__(self, now_s: float, whole: Share) -> None:
        self.whole = whole
        self.share = NO_SHARE
        self.until_s = -inf
        self.home: InstanceId | None = None
        self.open = 0
        self.waiting = 0
        self.fallback = False
        self.not_before_s = -inf
        self.due_s = inf
        self.close_gap_s: float | None = None
        self.forecast_s = SLICE_TTL_S
        self._whole_at_grant = whole
        self._bucket = TokenBucket(now_s)
        self._direct = 0
        self._direct_until_s = -inf
        self._spare_bucket: TokenBucket | None = None
        self._failures = 0
        self._is_contested = False
        self._tried_s = -inf
        self._answered_s = -inf
        self._demand = Demand(now_s)
        self._closed_s: float | None = None

    def mode(self, now_s: float) -> Mode:
        """Tell by what requests are admitted now."""
        if now_s < self.until_s:
            return Mode.SLICE
        return Mode.FALLBACK if self.fallback else Mode.COLD

    def slice_share(self, now_s: float) -> Share:
        """Give the slice, cut to the contract in force; nothing once it has ended."""
        if now_s >= self.until_s:
            return NO_SHARE
        return self.share.scaled(self._whole_at_grant, self.whole).at_most(self.whole)

    def tokens(self, now_s: float, source: Mode, conservative: Share) -> float:
        """Tell how many tokens there are for requests now, by what they are decided."""
        bucket = self._filled(now_s, source, conservative)
        return bucket.level + self._direct_now(now_s)

    def take_token(self, now_s: float, source: Mode, conservative: Share) -> None:
        """Spend a token."""
        if self._direct_now(now_s):
            self._direct -= 1
        else:
            self._filled(now_s, source, conservative).take(1.0)

    def _direct_now(self, now_s: float) -> int:
        # Tokens for waiting requests count for the home only while they may be under way.
        if now_s > self._direct_until_s:
            self._direct = 0
        return self._direct

    def _filled(self, now_s: float, source: Mode, conservative: Share) -> TokenBucket:
        if self._spare_bucket is None:
            self._spare_bucket = TokenBucket(now_s, conservative.burst)
        # The spare bucket goes on through all modes: one filled anew at each loss of the home
        # would give a burst for each.
        self._spare_bucket.fill(now_s, conservative.rate, conservative.burst)
        if source is Mode.FALLBACK:
            return self._spare_bucket
        self.fill(now_s)
        return self._bucket

    def fill(self, now_s: float) -> None:
        """Bring the slice's bucket up to now."""
        share = self.slice_share(now_s)
        if share is NO_SHARE:
            self._bucket.fill(now_s, 0.0, 0.0)
            return
        self._bucket.fill(now_s, share.rate, share.burst)

    def arrived(self, now_s: float) -> None:
        """Note a request, admitted or not."""
        self._demand.arrived(now_s)
        self.due_s = min(self.due_s, now_s + SLICE_RENEW_S)

    def forget_old(self, now_s: float) -> None:
        """Forget a home's failure that is older than any slice, so that it is asked first."""
        if now_s - max(self._tried_s, self._demand.last_s) > SLICE_TTL_S:
            self.fallback = False
            self._failures = 0

    def opened(self) -> None:
        """Note that a request was admitted."""
        self.open += 1
        self._demand.opened(self.open)

    def closed(self, now_s: float) -> None:
        """Note that a request ended."""
        self.open -= 1
        if self._closed_s is not None:
            gap_s = now_s - self._closed_s
            old_s = gap_s if self.close_gap_s is None else self.close_gap_s
            self.close_gap_s = old_s + _CLOSE_SMOOTHING * (gap_s - old_s)
        self._closed_s = now_s
        holds = self.share.rate == 0 and 2 * self.open <= self.share.slots
        if holds or self._is_contested:
            # The next renewal may be far off, and others may wait for these slots.
            self.due_s = min(self.due_s, now_s + MIN_QUERY_INTERVAL_S)

    def is_idle(self, now_s: float) -> bool:
        """Tell whether forgetting the account loses nothing."""
        full_s = self.whole.burst / self.whole.rate
        quiet = now_s - self._demand.last_s > IDLE_TIMEOUT_S + full_s
        return quiet and not self.open and not self.waiting and now_s >= self.until_s

    def ask(self, now_s: float, conservative: Share) -> Asked:
        """Bind this entry to what it keeps, and give the numbers of its ask."""
        want = self._want(now_s)
        returned = 0.0
        if self.mode(now_s) is Mode.SLICE:
            self.fill(now_s)
            # From here on the home may lend all above `keep` to others.
            self.share = self.slice_share(now_s).at_most(self._kept(want))
            self._whole_at_grant = self.whole
            returned = self._bucket.take(max(0.0, self._bucket.level - self.share.burst))
            keep = self.share
        else:
            keep = NO_SHARE
        if self.fallback:
            keep = keep.at_least(conservative)
        self._tried_s = now_s
        self.due_s = inf
        return Asked(now_s, self.open, self.waiting, keep, want, returned, self.whole)

    def answered(self, now_s: float, asked: Asked, grant: Grant) -> None:
        """Take a home's answer."""
        self._failures = 0
        self._answered_s = now_s
        self.forecast_s = grant.wait_s
        if grant.status is GrantStatus.GRANTED:
            self._granted(now_s, asked, grant)
        else:
            self._not_granted(now_s, asked, grant)

    def failed(self, now_s: float) -> None:
        """Note that the home did not answer."""
        pause_s = QUERY_BACKOFF_S[min(self._failures, len(QUERY_BACKOFF_S) - 1)]
        self._failures += 1
        self.fallback = True
        self.not_before_s = now_s + pause_s
        self.due_s = now_s + pause_s if self._is_needed(now_s) else inf

    def unanswered(self, now_s: float) -> None:
        """Note that a request waited READY_WAIT_S for the home."""
        # A home that answered meanwhile, with too little, lends the contract to others.
        if now_s - self._answered_s >= MAX_READY_WAIT_S:
            self.fallback = True

    def _granted(self, now_s: float, asked: Asked, grant: Grant) -> None:
        holds = only_holds(grant.share, grant.direct_tokens, asked.open)
        until_s = asked.sent_s + (HOLD_TTL_S if holds else SLICE_TTL_S)
        if now_s >= until_s:
            return
        self.fill(now_s)
        if now_s >= self.until_s:
            self._bucket.take(inf)
        self._bucket.level += grant.tokens
        self._carry_over(asked, grant.share.burst)
        end_s = asked.sent_s + DIRECT_TOKEN_TTL_S
        self._direct_until_s = (
            min(end_s, self._direct_until_s) if self._direct_now(now_s) else end_s
        )
        self._direct += grant.direct_tokens
        self.share = grant.share
        self._is_contested = grant.share.slots < asked.want.slots
        self._whole_at_grant = asked.whole
        self.until_s = until_s
        kept_share, self.fallback = self.fallback, False
        self.not_before_s = now_s + MIN_QUERY_INTERVAL_S if self._is_all(asked, grant) else now_s
        renew_s = HOLD_RENEW_S if holds else SLICE_RENEW_S
        self.due_s = asked.sent_s + renew_s if self._is_needed(now_s) else inf
        if kept_share and asked.keep.burst > grant.share.burst:
            # The home is charged with all that was kept until it hears that less is. Where each
            # entry kept its share, that is the contract, and nobody would get a token meanwhile.
            self.due_s = min(self.due_s, now_s + MIN_QUERY_INTERVAL_S)

    def _carry_over(self, asked: Asked, most: float) -> None:
        # A home opens with an empty bucket, and gives `keep` less than it lends: a caller that was
        # served by the share until now would be refused. The share's tokens move, none is made.
        if self.fallback and asked.keep.burst and self._spare_bucket is not None:
            self._bucket.level += self._spare_bucket.take(most - self._bucket.level)

    def _is_all(self, asked: Asked, grant: Grant) -> bool:
        slots = grant.share.slots
        if slots < asked.open + asked.waiting or slots >= self.whole.slots:
            return True
        return grant.tokens + grant.direct_tokens < asked.waiting

    def _not_granted(self, now_s: float, asked: Asked, grant: Grant) -> None:
        warming = grant.status is GrantStatus.WARMING
        if warming and asked.sent_s < self.until_s and asked.keep is not NO_SHARE:
            # A new home lends nothing yet, but it has counted what this entry keeps.
            self.until_s = max(self.until_s, asked.sent_s + SLICE_TTL_S)
        self.fallback = True
        self.not_before_s = now_s + MIN_QUERY_INTERVAL_S
        pause_s = (
            MIN_QUERY_INTERVAL_S
            if not warming
            else min(SLICE_RENEW_S, max(MIN_QUERY_INTERVAL_S, grant.wait_s))
        )
        self.due_s = now_s + pause_s if self._is_needed(now_s) else inf

    def _is_needed(self, now_s: float) -> bool:
        if self.open or self.waiting:
            return True
        if self._demand.is_low:
            return False
        has_rate = self.share.rate > 0 and now_s < self.until_s
        return has_rate or now_s - self._demand.last_s < SLICE_RENEW_S

    def _want(self, now_s: float) -> Share:
        self._demand.count(now_s, self.open)
        # Limits lent to an entry that hears no answers serve nobody.
        if self._failures > 1:
            return Share(slots=self.open)
        if self._demand.is_low:
            return Share(burst=min(1.0, self.waiting), slots=self.open + self.waiting)
        rate = self._demand.rate * _RATE_HEADROOM
        slots = (
            ceil(max(self._demand.peak, self.open) * _SLOT_HEADROOM) + self.waiting + _SPARE_SLOTS
        )
        return Share(rate, float(ceil(max(MIN_BURST, rate))), slots).at_most(
            self.whole.at_least(Share(slots=self.open))
        )

    def _kept(self, want: Share) -> Share:
        # Where the home had too few slots, idle ones go back to it at once.
        needed = self.open + self.waiting
        return replace(want, slots=needed) if self._is_contested else want
