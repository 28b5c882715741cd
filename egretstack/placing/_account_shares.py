"""Start-time fair queueing of client accounts over memory x time. Does no I/O.

This addresses a load in which some accounts send many times their usual load while engine memory
is scarce. Served in order of arrival, they would take the memory in proportion to what they send.
"""

from collections import Counter
from collections.abc import Mapping, Set
from dataclasses import dataclass, field

from egretstack.placing._recent_rate import RecentRate
from egretstack.placing._run_registry import CROWDING_FACTOR, CROWDING_SHARE

MAX_ACCOUNTS = 4096
"""Accounts that are remembered; the one that was served least recently is dropped first."""
LAPSE_S = 40.0
"""Time after which an account without requests is forgotten: the deadline of a long request."""
MIN_WAITING = 4
"""Waiting requests that every account may have: its requests may come together, and the rate at
which it is served is not known before some of them were."""
CROWDING_WINDOW_S = 10.0
"""Time constant of the work by which an account is found to crowd out others. Over 2 s an account
with a fifth of the load would exceed a quarter by chance."""
REBUILD_S = 1.0
"""Time for which a new home takes the starts from runs: some report periods, after which all live
instances have reported theirs."""

AccountKey = tuple[int, str]
"""A rank and a client account; an account whose rank changes has an entry in each for a while."""


@dataclass(slots=True)
class _Entry:
    start: float
    """Virtual start of the account's next request, in token seconds."""
    used_s: float
    served: RecentRate = field(default_factory=RecentRate)


class AccountShares:
    """The virtual start of each account, by rank."""

    def __init__(self) -> None:
        self._entry_by_key: dict[AccountKey, _Entry] = {}
        """In the order in which they were last used."""
        self._count_by_rank: Counter[int] = Counter()
        self._now_by_rank: dict[int, float] = {}
        """Virtual time: the smallest start at which a request may be served next."""
        self._served_start_by_rank: dict[int, float] = {}
        """Largest virtual start of the requests served since the virtual time was last set."""
        self._served_by_rank: dict[int, RecentRate] = {}

        self._work_by_account: dict[str, RecentRate] = {}
        """Prompt tokens placed, of any rank, in the order in which accounts were last used."""
        self._work = RecentRate(CROWDING_WINDOW_S)

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def start(self, rank: int, account: str) -> float:
        """Return the virtual start of an account's next request.

        It is never before the virtual time: an account that was idle has no credit.
        """
        entry = self._entry_by_key.get((rank, account))
        virtual = self._now_by_rank.get(rank, 0.0)
        return virtual if entry is None else max(entry.start, virtual)

    def account_count(self, rank: int) -> int:
        """Return how many accounts have sent requests of a rank lately; at least 1."""
        return max(1, self._count_by_rank[rank])

    def record_waiting(self, now_s: float, rank: int, account: str) -> None:
        """Record a new request of an account."""
        self._use(now_s, rank, account)

    def record_served(
        self, now_s: float, rank: int, account: str, cost: float, prompt_tokens: int = 0
    ) -> None:
        """Record a request that got a place, with its memory x time in token seconds."""
        self._record_work(now_s, account, prompt_tokens)
        start = self.start(rank, account)
        entry = self._use(now_s, rank, account)
        entry.start = start + cost
        entry.served.add(now_s)
        self._served_by_rank.setdefault(rank, RecentRate()).add(now_s)
        served_start = self._served_start_by_rank.get(rank, 0.0)
        self._served_start_by_rank[rank] = max(served_start, start)

    def advance(self, waiting_by_rank: Mapping[int, Set[str]]) -> None:
        """Advance the virtual time of each rank after requests were served.

        It is the start of the last request served, but not beyond that of any waiting account:
        short requests are also served out of turn.
        """
        for rank, served_start in self._served_start_by_rank.items():
            waiting = waiting_by_rank.get(rank, ())
            starts = (self.start(rank, account) for account in waiting)
            virtual = min(served_start, min(starts, default=served_start))
            self._now_by_rank[rank] = max(self._now_by_rank.get(rank, 0.0), virtual)

    def rebuild(self, now_s: float, cost_by_key: Mapping[AccountKey, float]) -> None:
        """Replace all starts by what the runs of each account still use."""
        self._now_by_rank.clear()
        self._served_start_by_rank.clear()
        for entry in self._entry_by_key.values():
            entry.start = 0.0
        for (rank, account), cost in cost_by_key.items():
            self._use(now_s, rank, account).start = cost

    def waiting_limit(
        self, now_s: float, rank: int, account: str, wait_s: float, others: int
    ) -> int:
        """Return how many requests of an account may wait `wait_s` to be served in that time.

        That is an even part of those of its rank, or more if the account is being served more, or
        if the `others` that wait in its rank leave some. A place that becomes free is then not
        without a request because an account was refused.
        """
        served = self._served_by_rank.get(rank)
        in_time = 0.0 if served is None else wait_s * served.per_s(now_s)
        entry = self._entry_by_key.get((rank, account))
        own = 0.0 if entry is None else wait_s * entry.served.per_s(now_s)
        even = in_time / self.account_count(rank)
        return max(MIN_WAITING, int(max(even, own, in_time - others)))

    def is_crowding(self, now_s: float, account: str) -> bool:
        """Return whether an account has far more of the recent work than an even part.

        Its requests have no precedence over less urgent ones of other accounts: their prompts alone
        could take all engines. The limits are those for memory in the registry of runs.
        """
        work = self._work_by_account.get(account)
        if work is None or not account or len(self._work_by_account) < 2:
            return False
        share = max(CROWDING_SHARE, CROWDING_FACTOR / len(self._work_by_account))
        return work.per_s(now_s) > share * self._work.per_s(now_s)

    def served_per_s(self, now_s: float, rank: int) -> float:
        """Return the recent rate of requests served up to and including a rank."""
        rates = (rate for one, rate in self._served_by_rank.items() if one <= rank)
        return sum(rate.per_s(now_s) for rate in rates)

    def forget_idle(self, now_s: float) -> None:
        """Forget accounts without requests for LAPSE_S, and ranks without accounts."""
        while self._entry_by_key:
            key = next(iter(self._entry_by_key))
            if now_s - self._entry_by_key[key].used_s <= LAPSE_S:
                break
            self._drop(key)
        idle = []
        for account, work in self._work_by_account.items():
            if now_s - work.at_s <= LAPSE_S:
                break
            idle.append(account)
        for account in idle:
            del self._work_by_account[account]

    def _record_work(self, now_s: float, account: str, prompt_tokens: int) -> None:
        self._work.add(now_s, prompt_tokens)
        work = self._work_by_account.pop(account, None)
        if work is None:
            work = RecentRate(CROWDING_WINDOW_S)
        while len(self._work_by_account) >= MAX_ACCOUNTS:
            self._work_by_account.pop(next(iter(self._work_by_account)))
        self._work_by_account[account] = work
        work.add(now_s, prompt_tokens)

    def _use(self, now_s: float, rank: int, account: str) -> _Entry:
        key = rank, account
        entry = self._entry_by_key.pop(key, None)
        if entry is None:
            while len(self._entry_by_key) >= MAX_ACCOUNTS:
                self._drop(next(iter(self._entry_by_key)))
            entry = _Entry(self._now_by_rank.get(rank, 0.0), now_s)
            self._count_by_rank[rank] += 1
        entry.used_s = now_s
        self._entry_by_key[key] = entry
        return entry

    def _drop(self, key: AccountKey) -> None:
        del self._entry_by_key[key]
        rank = key[0]
        self._count_by_rank[rank] -= 1
        if not self._count_by_rank[rank]:
            for state in (
                self._count_by_rank,
                self._now_by_rank,
                self._served_start_by_rank,
                self._served_by_rank,
            ):
                state.pop(rank, None)
