"""The object API as a duty's holder may use it: slowly, and only while it holds the lease."""

from collections.abc import Callable

import trio

from egretstack.objectapi import (
    BudgetedObjectApi,
    CallClass,
    ObjectKind,
    PlatformAway,
    Spec,
    StoredObject,
    TokenBucket,
)

CALLS_PER_S = 4.0
CALL_BURST = 2.0
"""A read and the conditional write on it go together: apart, a busy object always conflicts."""

MIN_LEASE_LEFT_S = 4.0
"""Lease that has to be left for a call; above the time that one call may take."""


class DutyEnded(Exception):
    """The lease is over, or nearly; its former holder makes no further call."""


class PacedObjectApi:
    """Reads, replaces and deletes, each within the duty's pace and the status budget.

    The budget of status calls is charged too, whatever the kind of the object: work that can wait
    never takes from what callers wait for.
    """

    def __init__(
        self, api: BudgetedObjectApi, remaining_s: Callable[[], float], rate: float = CALLS_PER_S
    ) -> None:
        self._api = api
        self._remaining_s = remaining_s
        self._rate = rate
        self._bucket = TokenBucket(rate, CALL_BURST, trio.current_time())

    async def get(self, kind: ObjectKind, name: str) -> StoredObject | None:
        """Read one object. Raises DutyEnded and as `ObjectApi.get` says."""
        await self._admit(kind)
        return await self._api.get(kind, name)

    async def create(self, kind: ObjectKind, name: str, spec: Spec) -> StoredObject:
        """Create an object. Raises DutyEnded and as `ObjectApi.create` says."""
        await self._admit(kind)
        return await self._api.create(kind, name, spec)

    async def replace(self, kind: ObjectKind, name: str, spec: Spec, version: str) -> StoredObject:
        """Replace an object. Raises DutyEnded and as `ObjectApi.replace` says."""
        await self._admit(kind)
        return await self._api.replace(kind, name, spec, version)

    async def delete(self, kind: ObjectKind, name: str, version: str) -> None:
        """Delete an object. Raises DutyEnded and as `ObjectApi.delete` says."""
        await self._admit(kind)
        await self._api.delete(kind, name, version)

    async def wait_for_pair(self) -> None:
        """Wait until a read and the write on it may be made with no wait between them."""
        await trio.sleep(CALL_BURST / self._rate)

    async def _admit(self, kind: ObjectKind) -> None:
        wait_s = self._bucket.wait_s(trio.current_time())
        self._bucket.spend(trio.current_time())
        await trio.sleep(wait_s)
        now_s = trio.current_time()
        if kind is not ObjectKind.STATUS:
            budget_s = self._api.budget.wait_s(CallClass.STATUS, now_s)
            if budget_s > 0:
                raise PlatformAway("the budget for status is spent", budget_s)
            self._api.budget.spend(CallClass.STATUS, now_s)
        # After the wait: a holder that was paused, however long, finds its lease over here.
        if self._remaining_s() <= MIN_LEASE_LEFT_S:
            raise DutyEnded
