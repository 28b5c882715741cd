"""The queue: ordered by contract value with ageing and a minimum share for every account."""

from collections.abc import Iterable

from egretstack.ids import AccountId, RequestId
from egretstack.policy._messages import SchedulingRequest

MAX_QUEUE = 2000
"""Waiting requests of one instance."""
AGEING_DOUBLING_S = 20.0
"""Time after which a waiting request's value in the order has doubled."""
FLOOR_SHARE = 0.2
"""Share of all tokens sent that is divided evenly among the accounts with waiting requests."""
FLOOR_HALF_LIFE_S = 30.0


class AccountUsage:
    """Tokens sent recently for each account, with a half-life of FLOOR_HALF_LIFE_S."""

    def __init__(self) -> None:
        self._tokens_by_account: dict[AccountId, float] = {}
        self._decayed_s = 0.0

    def add(self, now_s: float, account: AccountId, tokens: float) -> None:
        """Record tokens that were sent."""
        self._decay(now_s)
        self._tokens_by_account[account] = self._tokens_by_account.get(account, 0.0) + tokens

    def is_below_floor(self, now_s: float, account: AccountId, account_count: int) -> bool:
        """Return whether an account got less than its floor among `account_count` accounts."""
        self._decay(now_s)
        total = sum(self._tokens_by_account.values())
        return self._tokens_by_account.get(account, 0.0) < total * FLOOR_SHARE / max(
            1, account_count
        )

    def _decay(self, now_s: float) -> None:
        if now_s - self._decayed_s < 1.0:
            return
        kept = 0.5 ** ((now_s - self._decayed_s) / FLOOR_HALF_LIFE_S)
        self._decayed_s = now_s
        self._tokens_by_account = {
            account: used * kept
            for account, used in self._tokens_by_account.items()
            if used * kept > 1.0
        }


class WaitQueue:
    """Requests that wait for an engine."""

    def __init__(self, *, ageing: bool = True, floor: bool = True) -> None:
        self._ageing = ageing
        self._floor = floor
        self._waiting_by_id: dict[RequestId, tuple[SchedulingRequest, float]] = {}
        self.usage = AccountUsage()

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def add(self, now_s: float, request: SchedulingRequest) -> None:
        """Add a request."""
        self._waiting_by_id[request.id] = (request, now_s)

    def remove(self, request_id: RequestId, now_s: float) -> float:
        """Remove a request if it is queued; return how long it waited."""
        waited_s = self.waited_s(request_id, now_s)
        self._waiting_by_id.pop(request_id, None)
        return waited_s

    def waited_s(self, request_id: RequestId, now_s: float) -> float:
        """Return how long a request has waited; 0 if it is not queued."""
        found = self._waiting_by_id.get(request_id)
        return 0.0 if found is None else now_s - found[1]

    def requests(self) -> Iterable[SchedulingRequest]:
        """Return all waiting requests, unordered."""
        return [request for request, _ in self._waiting_by_id.values()]

    def ordered(self, now_s: float) -> list[SchedulingRequest]:
        """Return all waiting requests, the next to send first."""
        accounts = {request.account for request, _ in self._waiting_by_id.values()}
        # Ordered by value alone, an account of low value would get nothing but refusals for as
        # long as the engines are full. Accounts below their floor go first, ordered among
        # themselves by value.
        below_floor = {
            account
            for account in accounts
            if self._floor and self.usage.is_below_floor(now_s, account, len(accounts))
        }
        rows = [
            (
                request.account not in below_floor,
                -self._aged_value(now_s, request, since_s),
                since_s,
                request.id,
                request,
            )
            for request, since_s in self._waiting_by_id.values()
        ]
        rows.sort(key=lambda row: row[:4])
        return [row[4] for row in rows]

    def _aged_value(self, now_s: float, request: SchedulingRequest, since_s: float) -> float:
        if not self._ageing:
            return request.value
        return request.value * (1.0 + (now_s - since_s) / AGEING_DOUBLING_S)
