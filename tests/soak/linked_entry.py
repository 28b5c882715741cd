"""Program: an entry whose links to all runners are cut as a file says."""

import os
from pathlib import Path

import trio

from egretstack.programs import _platform_entry
from standins.platform import LinkCut, RunnerLinks

CUT_FILE_VARIABLE = "SOAK_CUT_FILE"
"""Environment variable that holds the path of the file; it has the name of a cut, or is empty."""
RUNNERS_VARIABLE = "SOAK_RUNNERS"
"""Environment variable that holds the hosts of the runners, joined by commas."""
POLL_INTERVAL_S = 0.05
ENTRY = "own"


class FileLinks(RunnerLinks):
    """The links of this process, cut and healed by the file."""

    def __init__(self, runners: set[str], path: Path) -> None:
        super().__init__(runners.__contains__)
        self._path = path
        self._polls = False

    async def open_connection(self, host: str, port: int):
        """Open a connection; the first one starts the polling of the file."""
        if not self._polls:
            self._polls = True
            self._apply()
            trio.lowlevel.spawn_system_task(self._poll)
        return await super().open_connection(host, port)

    async def _poll(self) -> None:
        while True:
            self._apply()
            await trio.sleep(POLL_INTERVAL_S)

    def _apply(self) -> None:
        name = self._path.read_text() if self._path.exists() else ""
        wanted = LinkCut(name) if name else None
        if wanted is self.cut_of(ENTRY):
            return
        if wanted is None:
            self.heal(ENTRY)
        else:
            self.cut(ENTRY, wanted)


def main() -> None:
    """Serve like `egret-platform-entry`."""
    runners = set(os.environ[RUNNERS_VARIABLE].split(","))
    links = FileLinks(runners, Path(os.environ[CUT_FILE_VARIABLE]))
    links.enter(ENTRY)
    with links.installed():
        _platform_entry.serve()


if __name__ == "__main__":
    main()
