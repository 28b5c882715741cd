"""The object API for a duty's holder: rate-limited, and usable only while it holds the lease."""

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
"""Allows a read and the conditional write on it with no wait between them.

With a wait in between, the write to an object that others update often would always conflict.
"""

MIN_LEASE_LEFT_S = 4.0
"""Remaining lease time required for a call; longer than one call may take."""


class DutyEnded(Exception):
    """The lease has expired or is about to; its former holder makes no further call."""


class PacedObjectApi:
    """Reads and writes objects within the duty's rate limit and the budget for status calls.

    The budget for status calls is charged whatever the kind of the object, so that background
    work never uses up the budget of calls that callers wait for.
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
        """Wait until a read and the write on it can be made with no wait between them."""
        await trio.sleep(CALL_BURST / self._rate)

    async def _admit(self, kind: ObjectKind) -> None:
        wait_s = self._bucket.wait_s(trio.current_time())
        self._bucket.spend(trio.current_time())
        await trio.sleep(wait_s)
        now_s = trio.current_time()
        if kind is not ObjectKind.STATUS:
            budget_wait_s = self._api.budget.wait_s(CallClass.STATUS, now_s)
            if budget_wait_s > 0:
                raise PlatformAway("the budget for status is spent", budget_wait_s)
            self._api.budget.spend(CallClass.STATUS, now_s)
        # Checked after the wait: a holder that was paused meanwhile finds its lease expired here.
        if self._remaining_s() <= MIN_LEASE_LEFT_S:
            raise DutyEnded
