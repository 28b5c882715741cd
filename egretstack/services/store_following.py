"""Keeps a list of the store's up to date, as the home for all or alone where no home tells it.

The home alone reads and tells the others. Any instance reads for itself while what it is told is
too old to keep a bound by.
"""

from abc import abstractmethod

import trio

from egretstack.kernel import Kernel, Service
from egretstack.platform import HistoryGone, StoreAway
from egretstack.services.fleet_port import IDLE_POLL_INTERVAL_S, FleetPort
from egretstack.services.store_reading import (
    START_POLL_INTERVAL_S,
    UNAVAILABLE_PAUSE_S,
    StoreReading,
)

HOME_PAUSE_S = 0.1
"""Pause between two watches of the home, which end at each change."""
OWN_READING_PAUSE_S = 0.6
OWN_READING_SPREAD_S = 0.05
"""Within so long for each instance of the fleet all read for themselves: 20 calls a second."""
UNAVAILABLE_OWN_PAUSE_S = 1.6
"""Pause after a call that the store did not answer, for an instance that is not the home: on the
store's return the home reads and tells. One that is cut off from the home alone reaches the store,
and has no such pause."""


class StoreFollower(Service):
    """Follows one kind of objects."""

    requires = ("fleet_port", "relay_metrics", "store_reading")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._store_reading = kernel.get(StoreReading)
        self._revision: int | None = None
        """What was read last, from which to watch; None to read the whole list."""

    @abstractmethod
    async def _read(self) -> None:
        """List or watch once, and take what came. Raises HistoryGone, StoreAway."""

    @abstractmethod
    def _is_current(self) -> bool:
        """Tell whether what is known here is new enough."""

    def _may_read(self) -> bool:
        """Tell whether the store may be asked; another follower may ask for both."""
        return True

    async def _follow(self) -> None:
        while True:
            home = self._port.is_home()
            if self._store_reading.is_starting():
                await trio.sleep(START_POLL_INTERVAL_S)
                continue
            if not self._may_read() or (not home and self._is_current()):
                self._revision = None
                await trio.sleep(IDLE_POLL_INTERVAL_S)
                continue
            if not home and await self._becomes_current():
                continue
            try:
                await self._read()
                self._store_reading.record_answer()
                await trio.sleep(HOME_PAUSE_S if home else OWN_READING_PAUSE_S)
            except HistoryGone:
                self._revision = None
            except StoreAway as error:
                self._store_reading.record_unavailable(error)
                self._revision = None
                await trio.sleep(UNAVAILABLE_PAUSE_S if home else UNAVAILABLE_OWN_PAUSE_S)

    async def _becomes_current(self) -> bool:
        """Let an instance whose home does not reach the store wait for one that does.

        That takes some tenths of a second. Where nobody reaches it, each instance tries on by
        itself, the fleet together no more often than its calls to the store may come.
        """
        if not self._port.fleet.is_led(trio.current_time()):
            return False
        live = len(self._port.fleet.live(trio.current_time()))
        await trio.sleep(self.kernel.rng.uniform(0, live * OWN_READING_SPREAD_S))
        return self._is_current()
