"""Duties for the whole fleet: rounds of work that one steward makes, one in each period."""

from abc import ABC, abstractmethod

import trio

from egretstack.duties._leased import TICK_INTERVAL_S, LeasedDuty
from egretstack.duties._paced import MIN_LEASE_LEFT_S, DutyEnded, PacedObjectApi
from egretstack.events import Event, log
from egretstack.ids import DutyName, InstanceId
from egretstack.objectapi import BudgetedObjectApi, PlatformError


class FleetTask(ABC):
    """What the holder of a fleet duty does in each period.

    A round may run beside a late one of a holder before it, so each of its effects has to be
    harmless whenever it comes: conditional on a version, or on a name that is never used again.
    """

    duty: DutyName
    period_s: float

    @abstractmethod
    async def run_round(self, api: PacedObjectApi) -> None:
        """Make one round through `api`; raises PlatformError, DutyEnded."""


class FleetDuty(LeasedDuty):
    """Makes the rounds of one work while it holds the lease."""

    def __init__(self, api: BudgetedObjectApi, own: InstanceId, work: FleetTask) -> None:
        super().__init__(api, own, work.duty)
        self._work = work
        self._paced = PacedObjectApi(api, self.remaining_s)

    def begin(self) -> bool:
        """Begin at once: a round needs nothing but the store."""
        return True

    def end(self) -> None:
        """Forget nothing: a round starts from what it reads."""

    async def work(self) -> None:
        """Make a round as soon as the lease is held, and one in each period after it."""
        while True:
            is_done = self.remaining_s() > MIN_LEASE_LEFT_S and await self._try_round()
            await trio.sleep(self._work.period_s if is_done else TICK_INTERVAL_S)

    async def _try_round(self) -> bool:
        try:
            await self._work.run_round(self._paced)
        except DutyEnded:
            return False
        except PlatformError as error:
            log(Event.DUTY_ROUND_FAILED, duty=self._name, error=repr(error))
        return True
