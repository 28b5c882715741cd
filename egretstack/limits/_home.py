"""The home side: one instance holds all of an account's limits and lends parts of them out."""

from collections.abc import Mapping

from egretstack.contracts import Contract
from egretstack.ids import AccountId, InstanceId
from egretstack.limits._homes import HomeLocator
from egretstack.limits._loans import Loans
from egretstack.limits._messages import (
    Grant,
    GrantRequest,
    GrantStatus,
    LimitsAnswer,
    LimitsAsk,
    make_answer,
    parse_query,
)
from egretstack.limits._share import NO_SHARE, contract_share
from egretstack.limits._timing import PAUSE_THRESHOLD_S, WARM_UP_S
from egretstack.peers import MessageError

SWEEP_S = 5.0
_NO_HOME = Grant(GrantStatus.NOT_HOME, NO_SHARE, 0.0, 0, 0.0)
_UNKNOWN = Grant(GrantStatus.UNKNOWN_ACCOUNT, NO_SHARE, 0.0, 0, 0.0)


class LimitsHome:
    """Answers asks for the accounts whose home this instance is; times in seconds."""

    def __init__(self, own: InstanceId, homes: HomeLocator, now_s: float) -> None:
        self._own = own
        self._homes = homes
        self._beat_s = now_s
        self._fresh_s = now_s
        self._sweep_s = now_s
        self._loans_by_account: dict[AccountId, Loans] = {}

    @property
    def account_count(self) -> int:
        """Tell how many accounts this instance keeps a record of."""
        return len(self._loans_by_account)

    def tick(self, now_s: float) -> bool:
        """Note that this process runs; True when it had stood still and forgot all it lent.

        A home that was frozen (SIGSTOP, a paused instance) finds its records as they were, while
        another instance became the home and lent the same limits again. Its first answer would
        double them. So it starts as a new home does; by the end of the warm-up it has read the
        instance list again, and answers NOT_HOME where it lost the account.
        """
        frozen = now_s - self._beat_s > PAUSE_THRESHOLD_S
        if frozen:
            self._loans_by_account.clear()
            self._fresh_s = now_s
        self._beat_s = now_s
        if now_s - self._sweep_s > SWEEP_S:
            self._sweep(now_s)
        return frozen

    def answer(
        self,
        now_s: float,
        entry: InstanceId,
        ask: LimitsAsk,
        contract_by_account: Mapping[AccountId, Contract],
    ) -> LimitsAnswer:
        """Answer an ask of `entry`, as the link has proved it; raise MessageError.

        An ask that names another sender would end what is lent to that one, by its serial, and
        its limits would go to whoever asks next.
        """
        if ask.instance != entry:
            raise MessageError(f"an ask of {entry} in another's name")
        rows = parse_query(ask)
        self.tick(now_s)
        return make_answer(
            [self._row(now_s, entry, ask.serial, row, contract_by_account) for row in rows]
        )

    def _row(
        self,
        now_s: float,
        entry: InstanceId,
        serial: int,
        row: GrantRequest,
        contract_by_account: Mapping[AccountId, Contract],
    ) -> Grant:
        contract = contract_by_account.get(row.account)
        if contract is None:
            self._loans_by_account.pop(row.account, None)
            return _UNKNOWN
        since_s = self._homes.home_since(row.account, self._own)
        if since_s is None:
            self._loans_by_account.pop(row.account, None)
            return _NO_HOME
        open_s = self._opening(since_s)
        loans = self._loans(row.account, open_s)
        if now_s < open_s:
            return loans.keep(now_s, entry, serial, row)
        return loans.lend(now_s, entry, serial, row, contract_share(contract))

    def _opening(self, since_s: float) -> float:
        # The old home may have lent up to its last moment, and may learn later than this one
        # that it is the home no more. Lending before those slices have ended would let both
        # sets of slices be used together.
        return max(since_s, self._fresh_s) + WARM_UP_S

    def _loans(self, account: AccountId, open_s: float) -> Loans:
        loans = self._loans_by_account.get(account)
        if loans is None or loans.open_s != open_s:
            loans = Loans(open_s)
            self._loans_by_account[account] = loans
        return loans

    def _sweep(self, now_s: float) -> None:
        self._sweep_s = now_s
        idle = [a for a, loans in self._loans_by_account.items() if loans.is_idle(now_s)]
        for account in idle:
            del self._loans_by_account[account]
