"""Entries as real processes, ended only by the ids that were started here."""

import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from egretstack.platform import SETTINGS_VARIABLE

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
"""


@dataclass
class EntryProcess:
    """One instance; its process may be started many times."""

    name: str
    ip: str
    store: str
    seeds: str
    folder: Path
    process: subprocess.Popen | None = None
    stopped: bool = False
    starts: int = 0

    @property
    def front(self) -> str:
        """Where clients connect."""
        return f"{self.ip}:8740"

    @property
    def directory(self) -> str:
        """Where clients ask which entries to use."""
        return f"{self.ip}:8746"

    @property
    def log(self) -> Path:
        """What all its processes wrote."""
        return self.folder / f"{self.name}.log"

    def start(self) -> None:
        """Start a process, unless one runs."""
        if self.process is not None and self.process.poll() is None:
            return
        settings = self.folder / f"{self.name}.conf"
        settings.write_text(
            _SETTINGS.format(
                name=self.name, ip=self.ip, store=self.store, seeds=self.seeds, grace=GRACE_S
            )
        )
        self.starts += 1
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "egretstack.programs.platform_entry"],
                cwd=ROOT,
                env={SETTINGS_VARIABLE: str(settings), "PATH": "/usr/bin:/bin"},
                stdout=log,
                stderr=log,
            )
        self.stopped = False

    def send(self, which: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(which)
            self.stopped = which is signal.SIGSTOP

    def end(self) -> None:
        """End the process at once, frozen or not."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
