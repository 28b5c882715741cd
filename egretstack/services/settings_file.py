"""Reads the settings file again when it changes, with a signal or without one."""

import os
import signal
from dataclasses import replace
from pathlib import Path

import trio

from egretstack.errors import UserError
from egretstack.events import Event, log
from egretstack.kernel import Kernel, Service, WorkKind
from egretstack.platform import SETTINGS_VARIABLE, read_node_settings
from egretstack.services.placing_home import PlacingHome
from egretstack.services.relaying import Relaying

CHECK_INTERVAL_S = 1.0
"""How often the file is checked for a change that came without a signal."""


class SettingsFile(Service):
    """Puts changed bounds in force; addresses apply only after a restart of the process."""

    name = "settings_file"
    requires = ("placing_home", "relaying")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
        self._seen = self._file_stamp()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Watch the file until cancelled."""
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            # A change since the file was first read may have come with a signal that was ignored.
            self._reload_confined()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._poll)
                task_status.started()
                async for _ in signals:
                    self._reload_confined()

    async def _poll(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if self._file_stamp() != self._seen:
                self._reload_confined()

    def _file_stamp(self) -> tuple[int, int]:
        try:
            status = self._path.stat()
        except OSError:
            return (0, 0)  # It is being rewritten; the next check finds it.
        return (status.st_mtime_ns, status.st_size)

    def _reload_confined(self) -> None:
        with self.kernel.unforeseen.confined(WorkKind.ROUND, loop=self.name):
            self._reload()

    def _reload(self) -> None:
        self._seen = self._file_stamp()
        try:
            settings = read_node_settings(self._path)
        except UserError as error:
            log(Event.SETTINGS_BAD, error=str(error))
            return
        # The placer was made for this value, which the operator's file may have determined.
        settings = replace(settings, shares_capacity=self.kernel.settings.shares_capacity)
        changed = settings != self.kernel.settings
        log(Event.SETTINGS_READ_AGAIN, changed=changed)
        self.kernel.settings = settings
        relay = self.kernel.get(Relaying).context
        relay.budget.bounds = settings.bounds
        relay.departure.limit_grace(settings.bounds.grace_s)
        self.kernel.get(PlacingHome).cold_allocation.bounds = settings.bounds
