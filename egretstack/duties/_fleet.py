"""Duties for the whole fleet: periodic tasks that one steward at a time runs."""

from abc import ABC, abstractmethod

import trio

from egretstack.duties._leased import TICK_INTERVAL_S, LeasedDuty
from egretstack.duties._paced import MIN_LEASE_LEFT_S, DutyEnded, PacedObjectApi
from egretstack.events import Event, log
from egretstack.ids import DutyName, InstanceId
from egretstack.objectapi import BudgetedObjectApi, PlatformError


class FleetTask(ABC):
    """What the holder of a fleet duty does in each period.

    A round may run concurrently with a delayed round of a previous holder, so each of its effects
    has to be harmless at any time: conditional on a version, or on a name that is never reused.
    """

    duty: DutyName
    period_s: float

    @abstractmethod
    async def run_round(self, api: PacedObjectApi) -> None:
        """Run one round, with all calls made through `api`; raise PlatformError, DutyEnded."""


class FleetDuty(LeasedDuty):
    """Runs the rounds of one task while this process holds the lease."""

    def __init__(self, api: BudgetedObjectApi, own: InstanceId, task: FleetTask) -> None:
        super().__init__(api, own, task.duty)
        self._task = task
        self._paced = PacedObjectApi(api, self.remaining_s)

    def begin(self) -> bool:
        """Begin at once: a round needs only the store."""
        return True

    def end(self) -> None:
        """Do nothing: a round keeps no state and starts from what it reads."""

    async def work(self) -> None:
        """Run a round as soon as the lease is held, then one in each period."""
        while True:
            is_done = self.remaining_s() > MIN_LEASE_LEFT_S and await self._try_round()
            await trio.sleep(self._task.period_s if is_done else TICK_INTERVAL_S)

    async def _try_round(self) -> bool:
        try:
            await self._task.run_round(self._paced)
        except DutyEnded:
            return False
        except PlatformError as error:
            log(Event.DUTY_ROUND_FAILED, duty=self._name, error=repr(error))
        return True
