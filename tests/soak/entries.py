"""Entries as real processes; each is ended only by the id it was started with."""

import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from egretstack.platform import SETTINGS_VARIABLE
from standins.platform import LinkCut
from tests.soak.linked_entry import CUT_FILE_VARIABLE, RUNNERS_VARIABLE

ROOT = Path(__file__).parent.parent.parent
GRACE_S = 3.0

_SETTINGS = """node-name={name}
zone=leon-a
region=bajio
zones.leon-a=bajio
zones.leon-b=bajio
ip={ip}
listen.front={ip}:8740
listen.ready-address={ip}:8749
listen.directory={ip}:8746
listen.control={ip}:8748
internal-ports=7200,7215
seeds={seeds}
platform.address={store}
bounds.grace-s={grace:g}
bounds.budget-slack=50
bounds.evacuate-ms=2000
contracts={contracts}
"""


@dataclass
class EntryProcess:
    """An entry's instance, whose process may be started many times."""

    name: str
    ip: str
    store: str
    seeds: str
    runners: tuple[str, ...]
    """Hosts of all runners, as they are listed."""
    folder: Path
    shares_capacity: bool = False
    process: subprocess.Popen | None = None
    is_paused: bool = False
    starts: int = 0

    @property
    def front(self) -> str:
        """Address to which clients connect."""
        return f"{self.ip}:8740"

    @property
    def directory(self) -> str:
        """Address at which clients query the entries that they may use."""
        return f"{self.ip}:8746"

    @property
    def log(self) -> Path:
        """Log file of all its processes."""
        return self.folder / f"{self.name}.log"

    def start(self) -> None:
        """Start the process, unless it runs."""
        if self.process is not None and self.process.poll() is None:
            return
        settings = self.folder / f"{self.name}.conf"
        settings.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=self.ip,
                store=self.store,
                seeds=self.seeds,
                grace=GRACE_S,
                contracts="pressure" if self.shares_capacity else "",
            )
        )
        self.starts += 1
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "tests.soak.linked_entry"],
                cwd=ROOT,
                env={
                    SETTINGS_VARIABLE: str(settings),
                    CUT_FILE_VARIABLE: str(self._cut_file),
                    RUNNERS_VARIABLE: ",".join(self.runners),
                    "PATH": "/usr/bin:/bin",
                },
                stdout=log,
                stderr=log,
            )
        self.is_paused = False

    @property
    def _cut_file(self) -> Path:
        return self.folder / f"{self.name}.cut"

    def cut_from_runners(self, how: LinkCut | None) -> None:
        """Cut the links to all runners, also those of processes that start later; None heals."""
        partial = self._cut_file.with_suffix(".new")
        partial.write_text("" if how is None else how.value)
        partial.replace(self._cut_file)

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)
            self.is_paused = signal_number is signal.SIGSTOP

    def end(self) -> None:
        """Kill the process, paused or not."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
