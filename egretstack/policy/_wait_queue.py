"""The queue: contract value with ageing, a floor for every account, and a bound."""

from collections.abc import Iterable

from egretstack.ids import AccountId, RequestId
from egretstack.policy._messages import SchedulingRequest

MAX_QUEUE = 2000
"""Waiting requests of one instance."""
AGEING_S = 20.0
"""Waiting this long doubles a request's value in the order."""
FLOOR_SHARE = 0.2
"""Part of the tokens sent that is shared evenly between the accounts that ask."""
FLOOR_HALF_LIFE_S = 30.0


class AccountUse:
    """Tokens sent lately for each account, halved every FLOOR_HALF_LIFE_S."""

    def __init__(self) -> None:
        self._used: dict[AccountId, float] = {}
        self._at_s = 0.0

    def add(self, now_s: float, account: AccountId, tokens: float) -> None:
        """Note tokens that were sent."""
        self._decay(now_s)
        self._used[account] = self._used.get(account, 0.0) + tokens

    def below_floor(self, now_s: float, account: AccountId, asking: int) -> bool:
        """Tell whether an account had less than its floor, of `asking` accounts."""
        self._decay(now_s)
        total = sum(self._used.values())
        return self._used.get(account, 0.0) < total * FLOOR_SHARE / max(1, asking)

    def _decay(self, now_s: float) -> None:
        if now_s - self._at_s < 1.0:
            return
        kept = 0.5 ** ((now_s - self._at_s) / FLOOR_HALF_LIFE_S)
        self._at_s = now_s
        self._used = {one: used * kept for one, used in self._used.items() if used * kept > 1.0}


class WaitQueue:
    """Work that waits for a runner."""

    def __init__(self, *, ageing: bool = True, floor: bool = True) -> None:
        self._ageing = ageing
        self._floor = floor
        self._since_by_id: dict[RequestId, tuple[SchedulingRequest, float]] = {}
        self.use = AccountUse()

    def __len__(self) -> int:
        return len(self._since_by_id)

    def add(self, now_s: float, work: SchedulingRequest) -> None:
        """Put work in."""
        self._since_by_id[work.id] = (work, now_s)

    def remove(self, work_id: RequestId, now_s: float) -> float:
        """Take work out, if it is there; give how long it waited."""
        waited_s = self.waited_s(work_id, now_s)
        self._since_by_id.pop(work_id, None)
        return waited_s

    def waited_s(self, work_id: RequestId, now_s: float) -> float:
        """Give how long work has waited; none for work that is not here."""
        found = self._since_by_id.get(work_id)
        return 0.0 if found is None else now_s - found[1]

    def works(self) -> Iterable[SchedulingRequest]:
        """Give all that waits, in no order."""
        return [work for work, _ in self._since_by_id.values()]

    def ordered(self, now_s: float) -> list[SchedulingRequest]:
        """Give all that waits, the first to go first."""
        accounts = {work.account for work, _ in self._since_by_id.values()}
        # Value alone would keep an account of little value out for as long as the engines are
        # full: its callers would see refusals only. The floor lets it through, in its own order.
        poor = {
            account
            for account in accounts
            if self._floor and self.use.below_floor(now_s, account, len(accounts))
        }
        rows = [
            (work.account not in poor, -self._worth(now_s, work, since_s), since_s, work.id, work)
            for work, since_s in self._since_by_id.values()
        ]
        rows.sort(key=lambda row: row[:4])
        return [row[4] for row in rows]

    def _worth(self, now_s: float, work: SchedulingRequest, since_s: float) -> float:
        if not self._ageing:
            return work.value
        return work.value * (1.0 + (now_s - since_s) / AGEING_S)
