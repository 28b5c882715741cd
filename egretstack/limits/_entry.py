"""The entry side: admits requests by the slices it holds, and asks homes for them."""

from dataclasses import dataclass

from egretstack.contracts import Contract
from egretstack.errors import EgretError, ErrorKind
from egretstack.ids import AccountId, InstanceId
from egretstack.limits._held import Asked, Held, Mode
from egretstack.limits._homes import HomeLocator
from egretstack.limits._messages import MAX_ROWS, LimitsAnswer, LimitsAsk, make_query, parse_answer
from egretstack.limits._share import NO_SHARE, Share, contract_share
from egretstack.limits._timing import SLICE_TTL_S

MAX_WAITERS = 256
"""Requests of one account that wait for its home at once; more are refused."""

EARLY_S = 1.0
"""Renewals due within this time go along with an ask that is sent to their home anyway."""

MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0
SWEEP_S = 5.0


@dataclass(frozen=True)
class HomeQuery:
    """An ask for one home, with what was stated by account in the order of its rows."""

    home: InstanceId
    message: LimitsAsk
    pending_by_account: dict[AccountId, Asked]


class EntryLimiter:
    """Decides on each request of an account here; times in seconds of the runtime's clock.

    `serial` has to be greater than every serial that an earlier process of this instance used.
    """

    def __init__(self, own: InstanceId, homes: HomeLocator, now_s: float, serial: int = 0) -> None:
        self._own = own
        self._homes = homes
        self._serial = serial
        self._sweep_s = now_s
        self._held_by_account: dict[AccountId, Held] = {}
        self._asking: set[InstanceId] = set()

    @property
    def account_count(self) -> int:
        """Tell how many accounts this entry keeps a record of."""
        return len(self._held_by_account)

    def open_count(self, account: AccountId) -> int:
        """Tell how many requests of an account are open here."""
        held = self._held_by_account.get(account)
        return 0 if held is None else held.open

    def mode(self, now_s: float, account: AccountId) -> Mode:
        """Tell by what requests of an account are admitted now."""
        held = self._held_by_account.get(account)
        return Mode.COLD if held is None else held.mode(now_s)

    def should_wait(self, now_s: float, contract: Contract) -> bool:
        """Tell whether the answer of the account's home may let in what is refused now."""
        held = self._held(now_s, contract)
        held.forget_old(now_s)
        if held.mode(now_s) is Mode.FALLBACK or held.waiting >= MAX_WAITERS:
            return False
        if self._homes.home(contract.account) is None or now_s < held.not_before_s:
            return False
        return self._refusal(now_s, contract.account, held) is not None

    def count_waiting(self, account: AccountId, count: int) -> None:
        """Count requests that wait for the home in (1) or out (-1)."""
        held = self._held_by_account.get(account)
        if held is not None:
            held.waiting += count

    def on_wait_timeout(self, now_s: float, account: AccountId) -> None:
        """Note that a request waited READY_WAIT_S for the home of its account."""
        held = self._held_by_account.get(account)
        if held is not None:
            held.unanswered(now_s)

    def open(self, now_s: float, contract: Contract) -> None:
        """Count a request in; raise EgretError that says when to come back."""
        held = self._held(now_s, contract)
        held.forget_old(now_s)
        held.arrived(now_s)
        refusal = self._refusal(now_s, contract.account, held)
        if refusal is not None:
            if held.mode(now_s) is Mode.COLD:
                held.due_s = now_s
            raise refusal
        conservative = self._conservative(contract.account, held)
        held.take_token(now_s, self._source(now_s, held, conservative), conservative)
        held.opened()

    def close(self, now_s: float, account: AccountId) -> None:
        """Count a request out."""
        self._held_by_account[account].closed(now_s)

    def due_queries(self, now_s: float) -> list[HomeQuery]:
        """Give the asks to send now; each has to end in `answered` or `failed`."""
        if now_s - self._sweep_s > SWEEP_S:
            self._sweep(now_s)
        due_homes = {
            home
            for account, held in self._held_by_account.items()
            if (home := self._homes.home(account)) is not None
            and home not in self._asking
            and self._is_due(now_s, held, home)
        }
        return [self._ask(now_s, home) for home in sorted(due_homes)]

    def on_answer(self, now_s: float, ask: HomeQuery, answer: LimitsAnswer) -> None:
        """Take an answer; raise MessageError, after which `failed` has to be called."""
        grants = parse_answer(answer, len(ask.pending_by_account))
        self._asking.discard(ask.home)
        for (account, asked), grant in zip(ask.pending_by_account.items(), grants, strict=True):
            held = self._held_by_account.get(account)
            if held is not None:
                held.answered(now_s, asked, grant)

    def on_failure(self, now_s: float, ask: HomeQuery) -> None:
        """Note that a home did not answer in time."""
        self._asking.discard(ask.home)
        for account in ask.pending_by_account:
            held = self._held_by_account.get(account)
            if held is not None:
                held.failed(now_s)

    def _held(self, now_s: float, contract: Contract) -> Held:
        held = self._held_by_account.get(contract.account)
        if held is None:
            held = Held(now_s, contract_share(contract))
            self._held_by_account[contract.account] = held
        held.whole = contract_share(contract)
        return held

    def _conservative(self, account: AccountId, held: Held) -> Share:
        return self._homes.conservative_share(account, self._own, held.whole)

    def _source(self, now_s: float, held: Held, conservative: Share) -> Mode:
        """Tell by what the next request is decided."""
        mode = held.mode(now_s)
        if mode is not Mode.SLICE or not held.fallback:
            return mode
        # A slice outlives its home. One that is used up, or that only counts what was open,
        # would refuse callers within their contract until it ends. The conservative share is
        # theirs as soon as the home is silent; the greater of the two counts, not the sum.
        if _refusal_by(now_s, held, mode, conservative) is None:
            return mode
        return Mode.FALLBACK

    def _refusal(self, now_s: float, account: AccountId, held: Held) -> EgretError | None:
        conservative = self._conservative(account, held)
        return _refusal_by(now_s, held, self._source(now_s, held, conservative), conservative)

    def _is_due(self, now_s: float, held: Held, home: InstanceId) -> bool:
        if held.waiting and now_s >= held.not_before_s and held.mode(now_s) is not Mode.FALLBACK:
            return True
        # A new home counts what is open only if it is told before its warm-up ends.
        moved = held.home is not None and held.home != home
        if moved and (held.open or held.share is not NO_SHARE):
            return True
        return held.due_s <= now_s

    def _ask(self, now_s: float, home: InstanceId) -> HomeQuery:
        self._serial += 1
        self._asking.add(home)
        asked_by_account: dict[AccountId, Asked] = {}
        for account, held in self._held_by_account.items():
            if self._homes.home(account) != home or len(asked_by_account) >= MAX_ROWS:
                continue
            if self._is_due(now_s, held, home) or held.due_s <= now_s + EARLY_S:
                asked_by_account[account] = held.ask(now_s, self._conservative(account, held))
                held.home = home
        rows = [asked.row(account) for account, asked in asked_by_account.items()]
        return HomeQuery(home, make_query(self._own, self._serial, rows), asked_by_account)

    def _sweep(self, now_s: float) -> None:
        self._sweep_s = now_s
        idle = [account for account, held in self._held_by_account.items() if held.is_idle(now_s)]
        for account in idle:
            del self._held_by_account[account]


def _refusal_by(now_s: float, held: Held, source: Mode, conservative: Share) -> EgretError | None:
    share = conservative if source is Mode.FALLBACK else held.slice_share(now_s)
    # Slots are lent for the tokens there are; where both lack, the rate is the cause.
    tokens = held.tokens(now_s, source, conservative)
    if tokens < 1.0:
        return _rate_limited(held, share, tokens)
    if held.open >= share.slots:
        return _over_concurrency(held, share)
    return None


def _over_concurrency(held: Held, share: Share) -> EgretError:
    gap_s = held.close_gap_s if held.close_gap_s is not None else SLICE_TTL_S
    return EgretError(
        ErrorKind.OVER_CONCURRENCY,
        f"{held.open} requests are open here; the contract allows {held.whole.slots} in all",
        retry_after_s=_bounded(gap_s if share.slots else SLICE_TTL_S),
    )


def _rate_limited(held: Held, share: Share, level: float) -> EgretError:
    wait_s = (1.0 - level) / share.rate if share.rate else held.forecast_s
    return EgretError(
        ErrorKind.RATE_LIMITED,
        f"more than {held.whole.rate:g} requests a second",
        retry_after_s=_bounded(wait_s),
    )


def _bounded(wait_s: float) -> float:
    return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
