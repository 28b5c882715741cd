"""The platform's instance list as far as this process knows it."""

from collections.abc import Awaitable, Callable

import trio

from egretstack.events import Event, log
from egretstack.ids import ServiceName
from egretstack.kernel import Kernel, Service
from egretstack.membership import ReadingPlan
from egretstack.objectapi import ENTRY_SERVICE, Member, MemberState, PlatformAway
from egretstack.services.platform_access import PlatformAccess

ReadingHandler = Callable[[list[Member]], Awaitable[None]]


class Instances(Service):
    """Holds the members last listed; during an outage of the list it keeps the last known ones.

    This process reads the list only in its turn. Where membership runs, the readings of other
    instances arrive with the heartbeats and are stored here by `set_members`.
    """

    name = "instances"
    requires = ("platform_access",)

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._members: list[Member] = []
        self._listeners: list[Callable[[], None]] = []
        self._reading_handler: ReadingHandler | None = None
        self._read_requested = trio.Event()
        self._unavailable = False
        self.last_read: list[Member] | None = None

    def members(self, service: ServiceName, state: MemberState | None = None) -> list[Member]:
        """Return the members of a service, of one state or of any."""
        return [
            member
            for member in self._members
            if member.service == service and state in (None, member.state)
        ]

    def all_members(self) -> list[Member]:
        """Return the members of every service."""
        return list(self._members)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the list."""
        self._listeners.append(listener)

    async def on_reading(self, handler: ReadingHandler) -> None:
        """Pass each reading to `handler`, which calls `set_members`; the last reading at once."""
        self._reading_handler = handler
        if self.last_read is not None:
            await handler(self.last_read)

    def set_members(self, members: list[Member]) -> None:
        """Store these members, and notify the listeners of a change."""
        if members == self._members:
            return
        self._members = members
        for listener in self._listeners:
            listener()

    def read_soon(self) -> None:
        """Read the list ahead of the plan."""
        self._read_requested.set()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Read the list in this process's turns."""
        await self._read()
        task_status.started()
        while True:
            self._read_requested = trio.Event()
            with trio.move_on_after(self._plan().wait_s(self.kernel.epoch.now())):
                await self._read_requested.wait()
            await self._read()

    def _plan(self) -> ReadingPlan:
        min_period_s = self.kernel.settings.number("platform", "list_period_s")
        own = self.kernel.settings.text("instance", "id")
        readers = sorted({member.id for member in self.members(ENTRY_SERVICE)} | {own})
        return ReadingPlan.make(min_period_s, len(self._members), readers.index(own), len(readers))

    async def _read(self) -> None:
        try:
            members = await self.kernel.get(PlatformAccess).instance_list.members()
        except PlatformAway as error:
            if not self._unavailable:
                log(Event.PLATFORM_AWAY, what="instance list", error=str(error))
            self._unavailable = True
            return
        if self._unavailable:
            log(Event.PLATFORM_BACK, what="instance list")
        self._unavailable = False
        self.last_read = members
        if self._reading_handler is None:
            self.set_members(members)
        else:
            await self._reading_handler(members)
