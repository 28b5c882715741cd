"""The limits home: owns all limits of an account and grants parts of them to entries."""

from collections.abc import Mapping

from egretstack.contracts import Contract
from egretstack.ids import AccountId, InstanceId
from egretstack.limits._account_grants import AccountGrants
from egretstack.limits._homes import HomeLocator
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

SWEEP_INTERVAL_S = 5.0
"""Time between two removals of idle accounts."""
_NO_HOME = Grant(GrantStatus.NOT_HOME, NO_SHARE, 0.0, 0, 0.0)
_UNKNOWN = Grant(GrantStatus.UNKNOWN_ACCOUNT, NO_SHARE, 0.0, 0, 0.0)


class LimitsHome:
    """Answers queries for the accounts whose limits home this instance is; times in seconds."""

    def __init__(self, own: InstanceId, homes: HomeLocator, now_s: float) -> None:
        self._own = own
        self._homes = homes
        self._ticked_s = now_s
        self._new_since_s = now_s
        self._swept_s = now_s
        self._grants_by_account: dict[AccountId, AccountGrants] = {}

    @property
    def account_count(self) -> int:
        """Return the number of accounts that this home keeps grants for."""
        return len(self._grants_by_account)

    def tick(self, now_s: float) -> bool:
        """Record that this process runs; return True after a pause, which drops all grants.

        After a pause (SIGSTOP, a suspended instance) a home still has its old grants, while
        another instance may have become the home and granted the same limits again. Its first
        answer would double them. So it starts over as a new home; by the end of the warm-up it has
        read the instance list again and answers NOT_HOME for the accounts it lost.
        """
        paused = now_s - self._ticked_s > PAUSE_THRESHOLD_S
        if paused:
            self._grants_by_account.clear()
            self._new_since_s = now_s
        self._ticked_s = now_s
        if now_s - self._swept_s > SWEEP_INTERVAL_S:
            self._sweep(now_s)
        return paused

    def answer(
        self,
        now_s: float,
        entry: InstanceId,
        query: LimitsAsk,
        contract_by_account: Mapping[AccountId, Contract],
    ) -> LimitsAnswer:
        """Answer a query of `entry`, the sender that the link authenticated; raise MessageError.

        A query in the name of another entry would, with a greater serial, end that entry's
        grants, and its limits would go to whichever entry queries next.
        """
        if query.instance != entry:
            raise MessageError(f"limits query from {entry} names another sender")
        rows = parse_query(query)
        self.tick(now_s)
        return make_answer(
            [
                self._answer_request(now_s, entry, query.serial, request, contract_by_account)
                for request in rows
            ]
        )

    def _answer_request(
        self,
        now_s: float,
        entry: InstanceId,
        serial: int,
        request: GrantRequest,
        contract_by_account: Mapping[AccountId, Contract],
    ) -> Grant:
        contract = contract_by_account.get(request.account)
        if contract is None:
            self._grants_by_account.pop(request.account, None)
            return _UNKNOWN
        since_s = self._homes.home_since(request.account, self._own)
        if since_s is None:
            self._grants_by_account.pop(request.account, None)
            return _NO_HOME
        granting_from_s = self._granting_from_s(since_s)
        grants = self._grants(request.account, granting_from_s)
        if now_s < granting_from_s:
            return grants.record_kept(now_s, entry, serial, request)
        return grants.grant(now_s, entry, serial, request, contract_share(contract))

    def _granting_from_s(self, since_s: float) -> float:
        # The old home may have granted limits until its end, and may learn later than this one
        # that it is no longer the home. Granting before those slices have expired would let both
        # sets of slices be used at the same time.
        return max(since_s, self._new_since_s) + WARM_UP_S

    def _grants(self, account: AccountId, granting_from_s: float) -> AccountGrants:
        grants = self._grants_by_account.get(account)
        if grants is None or grants.granting_from_s != granting_from_s:
            grants = AccountGrants(granting_from_s)
            self._grants_by_account[account] = grants
        return grants

    def _sweep(self, now_s: float) -> None:
        self._swept_s = now_s
        idle = [a for a, grants in self._grants_by_account.items() if grants.is_idle(now_s)]
        for account in idle:
            del self._grants_by_account[account]
