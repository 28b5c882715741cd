"""Follows the platform's instance list."""

from collections.abc import Callable

import trio

from egretstack.events import Event, log
from egretstack.ids import ServiceName
from egretstack.kernel import Kernel, Service
from egretstack.platform import Member, MemberState, PlatformAway
from egretstack.services.platform_access import PlatformAccess


class Instances(Service):
    """Holds the members last listed; an outage of the list keeps the last known ones."""

    name = "instances"
    requires = ("platform_access",)

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._members: list[Member] = []
        self._listeners: list[Callable[[], None]] = []
        self._away = False

    def members(self, service: ServiceName, state: MemberState | None = None) -> list[Member]:
        """Give the members of a service, of one state or of any."""
        return [
            member
            for member in self._members
            if member.service == service and state in (None, member.state)
        ]

    def all_members(self) -> list[Member]:
        """Give the members of every service."""
        return list(self._members)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the list."""
        self._listeners.append(listener)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Read the list again and again."""
        period_s = self.kernel.settings.number("platform", "list_period_s")
        await self._read()
        task_status.started()
        while True:
            await trio.sleep(period_s)
            await self._read()

    async def _read(self) -> None:
        try:
            members = await self.kernel.get(PlatformAccess).instance_list.members()
        except PlatformAway as error:
            if not self._away:
                log(Event.PLATFORM_AWAY, what="instance list", error=str(error))
            self._away = True
            return
        if self._away:
            log(Event.PLATFORM_BACK, what="instance list")
        self._away = False
        if members != self._members:
            self._members = members
            for listener in self._listeners:
                listener()
