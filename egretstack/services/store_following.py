"""Keeps a list of the store up to date, as the home for all or for this instance alone.

The home reads it and sends it to the others. Any instance reads for itself while the list it has
received is too old to keep a bound.
"""

from abc import abstractmethod
from collections.abc import Callable, Iterable
from typing import TypeVar

import trio

from egretstack.kernel import Kernel, Service, WorkKind
from egretstack.platform import Change, HistoryGone, StoreAway
from egretstack.services.fleet_port import IDLE_POLL_INTERVAL_S, FleetPort
from egretstack.services.store_reading import (
    START_POLL_INTERVAL_S,
    UNAVAILABLE_PAUSE_S,
    StoreReading,
)

T = TypeVar("T")
MAX_NAME_LOGGED = 128
"""Limit on the logged characters of an object's name."""
HOME_PAUSE_S = 0.1
"""Pause between two watches of the home; a watch ends at each change."""
OWN_READING_PAUSE_S = 0.6
OWN_READING_SPREAD_S = 0.05
"""Multiplied by the number of live instances, the time over which their own readings are spread: 20
calls a second for the whole fleet."""
UNAVAILABLE_OWN_PAUSE_S = 1.6
"""Pause after a call that the store did not answer, for an instance that is not the home: when the
store returns, the home reads the list and sends it. An instance that is cut off from the home alone
reaches the store, and so makes no such pause."""


class StoreFollower(Service):
    """Follows one kind of objects."""

    requires = ("fleet_port", "relay_metrics", "store_reading")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._store_reading = kernel.get(StoreReading)
        self._revision: int | None = None
        """Revision of the last reading, from which to watch; None to read the whole list."""

    @abstractmethod
    async def _read(self) -> None:
        """List or watch once, and apply the result. Raises HistoryGone, StoreAway."""

    @abstractmethod
    def _is_current(self) -> bool:
        """Return whether what is known here is recent enough."""

    def _may_read(self) -> bool:
        """Return whether the store may be called; another follower may do so for both."""
        return True

    async def _follow(self) -> None:
        """Read until cancelled; a reading that fails unforeseen counts as not answered."""
        while True:
            with self.kernel.unforeseen.confined(WorkKind.ROUND, loop=self.name) as reading:
                await self._follow_until_error()
            if reading.failed:
                self._revision = None
                self._store_reading.record_unavailable(StoreAway("its answer cannot be applied"))
                is_home = self._port.is_home()
                await trio.sleep(UNAVAILABLE_PAUSE_S if is_home else UNAVAILABLE_OWN_PAUSE_S)

    async def _follow_until_error(self) -> None:
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

    def _apply_each(
        self, changes: Iterable[Change], apply: Callable[[Change], Iterable[T]]
    ) -> list[T]:
        """Apply each change; one that fails unforeseen keeps no other from its use.

        Returns all that `apply` has returned.
        """
        results: list[T] = []
        for change in changes:
            name = change.object.name[:MAX_NAME_LOGGED]
            with self.kernel.unforeseen.confined(WorkKind.ROW, list=self.name, object=name):
                results.extend(apply(change))
        return results

    async def _becomes_current(self) -> bool:
        """Wait for a home that reaches the store, if this instance's home does not.

        That takes some tenths of a second. Where no instance reaches the store, each one goes on by
        itself, and all together call it no more often than the fleet may. Returns whether the list
        is recent enough now.
        """
        if not self._port.fleet.has_live_home(trio.current_time()):
            return False
        live = len(self._port.fleet.live(trio.current_time()))
        await trio.sleep(self.kernel.rng.uniform(0, live * OWN_READING_SPREAD_S))
        return self._is_current()
