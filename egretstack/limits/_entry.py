"""Admission on an entry, by the slices that it holds; it requests them from the limits homes."""

from dataclasses import dataclass

from egretstack.contracts import Contract
from egretstack.errors import EgretError, ErrorKind
from egretstack.ids import AccountId, InstanceId
from egretstack.limits._account_state import AccountState, Mode, PendingGrantRequest
from egretstack.limits._homes import HomeLocator
from egretstack.limits._messages import MAX_ROWS, LimitsAnswer, LimitsAsk, make_query, parse_answer
from egretstack.limits._share import NO_SHARE, Share, contract_share
from egretstack.limits._timing import SLICE_TTL_S

MAX_WAITERS = 256
"""Requests of one account that may wait for its home at once; more are decided immediately."""

EARLY_RENEWAL_S = 1.0
"""Renewals due within this time are included in a query that is sent to the same home anyway."""

MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0
SWEEP_INTERVAL_S = 5.0
"""Time between two removals of idle accounts."""


@dataclass(frozen=True)
class HomeQuery:
    """A query to one home, with its grant requests by account in the order of the rows."""

    home: InstanceId
    message: LimitsAsk
    pending_by_account: dict[AccountId, PendingGrantRequest]


class EntryLimiter:
    """Admits or refuses the requests of all accounts on this entry; times on the runtime's clock.

    `serial` has to be greater than any serial used by an earlier process of this instance.
    """

    def __init__(self, own: InstanceId, homes: HomeLocator, now_s: float, serial: int = 0) -> None:
        self._own = own
        self._homes = homes
        self._serial = serial
        self._swept_s = now_s
        self._state_by_account: dict[AccountId, AccountState] = {}
        self._queried_homes: set[InstanceId] = set()

    @property
    def account_count(self) -> int:
        """Return the number of accounts that this entry keeps state for."""
        return len(self._state_by_account)

    def open_count(self, account: AccountId) -> int:
        """Return how many requests of an account are open on this entry."""
        state = self._state_by_account.get(account)
        return 0 if state is None else state.open

    def mode(self, now_s: float, account: AccountId) -> Mode:
        """Return by what the requests of an account are admitted now."""
        state = self._state_by_account.get(account)
        return Mode.COLD if state is None else state.mode(now_s)

    def should_wait(self, now_s: float, contract: Contract) -> bool:
        """Return whether a request refused now may be admitted after an answer from the home."""
        state = self._state(now_s, contract)
        state.forget_old_failure(now_s)
        if state.mode(now_s) is Mode.FALLBACK or state.waiting >= MAX_WAITERS:
            return False
        if self._homes.home(contract.account) is None or now_s < state.next_query_s:
            return False
        return self._refusal(now_s, contract.account, state) is not None

    def count_waiting(self, account: AccountId, count: int) -> None:
        """Add to the number of requests that wait for the home: 1 or -1."""
        state = self._state_by_account.get(account)
        if state is not None:
            state.waiting += count

    def on_wait_timeout(self, now_s: float, account: AccountId) -> None:
        """Record that a request waited MAX_READY_WAIT_S for the home of its account."""
        state = self._state_by_account.get(account)
        if state is not None:
            state.on_wait_timeout(now_s)

    def open(self, now_s: float, contract: Contract) -> None:
        """Count a request as open; raise EgretError with a retry delay if it is over the limits."""
        state = self._state(now_s, contract)
        state.forget_old_failure(now_s)
        state.record_arrival(now_s)
        refusal = self._refusal(now_s, contract.account, state)
        if refusal is not None:
            if state.mode(now_s) is Mode.COLD:
                state.query_due_s = now_s
            raise refusal
        conservative = self._conservative_share(contract.account, state)
        state.spend_token(now_s, self._admission_mode(now_s, state, conservative), conservative)
        state.record_open()

    def close(self, now_s: float, account: AccountId) -> None:
        """Count a request as ended."""
        self._state_by_account[account].record_close(now_s)

    def due_queries(self, now_s: float) -> list[HomeQuery]:
        """Return the queries to send now; each has to end in `on_answer` or `on_failure`."""
        if now_s - self._swept_s > SWEEP_INTERVAL_S:
            self._sweep(now_s)
        due_homes = {
            home
            for account, state in self._state_by_account.items()
            if (home := self._homes.home(account)) is not None
            and home not in self._queried_homes
            and self._is_due(now_s, state, home)
        }
        return [self._make_query(now_s, home) for home in sorted(due_homes)]

    def on_answer(self, now_s: float, query: HomeQuery, answer: LimitsAnswer) -> None:
        """Apply an answer; raise MessageError, after which `on_failure` has to be called."""
        grants = parse_answer(answer, len(query.pending_by_account))
        self._queried_homes.discard(query.home)
        for (account, pending), grant in zip(query.pending_by_account.items(), grants, strict=True):
            state = self._state_by_account.get(account)
            if state is not None:
                state.on_answer(now_s, pending, grant)

    def on_failure(self, now_s: float, query: HomeQuery) -> None:
        """Record that a home did not answer in time."""
        self._queried_homes.discard(query.home)
        for account in query.pending_by_account:
            state = self._state_by_account.get(account)
            if state is not None:
                state.on_failure(now_s)

    def _state(self, now_s: float, contract: Contract) -> AccountState:
        state = self._state_by_account.get(contract.account)
        if state is None:
            state = AccountState(now_s, contract_share(contract))
            self._state_by_account[contract.account] = state
        state.total = contract_share(contract)
        return state

    def _conservative_share(self, account: AccountId, state: AccountState) -> Share:
        return self._homes.conservative_share(account, self._own, state.total)

    def _admission_mode(self, now_s: float, state: AccountState, conservative: Share) -> Mode:
        """Return by what the next request is decided."""
        mode = state.mode(now_s)
        if mode is not Mode.SLICE or not state.fallback:
            return mode
        # A slice may be valid for longer than its home. A slice that is used up, or that only
        # counts open requests, would refuse callers within their contract until it expires. So
        # the conservative share applies as soon as the home is unresponsive; the greater of the
        # two counts, not the sum.
        if _refusal_in_mode(now_s, state, mode, conservative) is None:
            return mode
        return Mode.FALLBACK

    def _refusal(self, now_s: float, account: AccountId, state: AccountState) -> EgretError | None:
        conservative = self._conservative_share(account, state)
        return _refusal_in_mode(
            now_s, state, self._admission_mode(now_s, state, conservative), conservative
        )

    def _is_due(self, now_s: float, state: AccountState, home: InstanceId) -> bool:
        if state.waiting and now_s >= state.next_query_s and state.mode(now_s) is not Mode.FALLBACK:
            return True
        # A new home counts the open requests only if they are reported before its warm-up ends.
        moved = state.home is not None and state.home != home
        if moved and (state.open or state.granted is not NO_SHARE):
            return True
        return state.query_due_s <= now_s

    def _make_query(self, now_s: float, home: InstanceId) -> HomeQuery:
        self._serial += 1
        self._queried_homes.add(home)
        pending_by_account: dict[AccountId, PendingGrantRequest] = {}
        for account, state in self._state_by_account.items():
            if self._homes.home(account) != home or len(pending_by_account) >= MAX_ROWS:
                continue
            if self._is_due(now_s, state, home) or state.query_due_s <= now_s + EARLY_RENEWAL_S:
                pending_by_account[account] = state.make_request(
                    now_s, self._conservative_share(account, state)
                )
                state.home = home
        rows = [pending.grant_request(account) for account, pending in pending_by_account.items()]
        return HomeQuery(home, make_query(self._own, self._serial, rows), pending_by_account)

    def _sweep(self, now_s: float) -> None:
        self._swept_s = now_s
        idle = [
            account for account, state in self._state_by_account.items() if state.is_idle(now_s)
        ]
        for account in idle:
            del self._state_by_account[account]


def _refusal_in_mode(
    now_s: float, state: AccountState, mode: Mode, conservative: Share
) -> EgretError | None:
    share = conservative if mode is Mode.FALLBACK else state.slice_share(now_s)
    # Slots are granted according to the tokens; if both are missing, the rate is the cause.
    tokens = state.available_tokens(now_s, mode, conservative)
    if tokens < 1.0:
        return _rate_limited_error(state, share, tokens)
    if state.open >= share.slots:
        return _over_concurrency_error(state, share)
    return None


def _over_concurrency_error(state: AccountState, share: Share) -> EgretError:
    interval_s = state.close_interval_s if state.close_interval_s is not None else SLICE_TTL_S
    return EgretError(
        ErrorKind.OVER_CONCURRENCY,
        f"{state.open} requests are open here; the contract allows {state.total.slots} in all",
        retry_after_s=_bounded_retry_s(interval_s if share.slots else SLICE_TTL_S),
    )


def _rate_limited_error(state: AccountState, share: Share, level: float) -> EgretError:
    wait_s = (1.0 - level) / share.rate if share.rate else state.token_wait_s
    return EgretError(
        ErrorKind.RATE_LIMITED,
        f"more than {state.total.rate:g} requests a second",
        retry_after_s=_bounded_retry_s(wait_s),
    )


def _bounded_retry_s(wait_s: float) -> float:
    return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
