"""Starts instances as the deploy file says, on loopback addresses, like those of a small site."""

import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
VARIABLE = "EGRETSTACK_NODE_FILE"
HELD = 0
UNABLE = 2
BROKEN = 10
"""Exit codes of a case. One that ends with an error of its own exits with 1, which is none."""
ZONES = ("hafnar-hall", "hofda-hall", "vellir-hall")

_SETTINGS = """node-name=edge-{number}
role=entry
machine-class=edge
serves=edge,directory,control_plane
ip={ip}
zone={zone}
region=reykjavik
zones.hafnar-hall=reykjavik
zones.hofda-hall=reykjavik
zones.vellir-hall=reykjavik
listen.front={ip}:8740
listen.ready-address={ip}:8749
listen.control={ip}:8748
listen.directory={ip}:8746
internal-ports=7200,7215
seeds={seeds}
bootstrap={bootstrap}
limits.cores=2
limits.memory-mb=300
limits.max-fds=4100
limits.link-mbps=1000.0
discovery=platform
entry=directory
heartbeat-ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.stable-window-ms=3000
bounds.ack-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.max-skew-ms=5000
bounds.fail-closed=false
bounds.revoke-ms=5000
bounds.retry-ratio=0.2
bounds.budget-window-s=10
bounds.budget-slack=52
bounds.recover-s=12
bounds.pass-ms=120
bounds.reuse-window-s=6.9
bounds.ttl_max_s=5
platform.address={store}
platform.form=objects
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.ttl-min-ms=1000
"""


_reserved: list[socket.socket] = []
"""Sockets that keep the addresses of this process from others."""


def free_net() -> str:
    """Return the first two bytes of loopback addresses that nobody uses, and keep them."""
    for _ in range(50):
        net = f"127.{random.randrange(30, 250)}"
        reserved = socket.socket()
        try:
            reserved.bind((f"{net}.250.1", 8740))
            with socket.socket() as probe:
                probe.bind((f"{net}.21.1", 8740))
        except OSError:
            reserved.close()
            continue
        _reserved.append(reserved)
        return net
    raise OSError("no free loopback addresses")


class Instance:
    """One instance; its process may be started several times."""

    def __init__(self, net: str, number: int, count: int, folder: Path, store: str) -> None:
        self.ip = f"{net}.21.{number + 1}"
        self.front = f"{self.ip}:8740"
        self.ready = f"{self.ip}:8749"
        self.log = folder / f"edge-{number}.log"
        self.process: subprocess.Popen | None = None
        self._settings = folder / f"edge-{number}.conf"
        seeds = ",".join(f"{net}.21.{one + 1}:8748" for one in range(min(3, count)))
        self._text = _SETTINGS.format(
            number=number,
            ip=self.ip,
            zone=ZONES[number % len(ZONES)],
            seeds=seeds,
            store=store,
            bootstrap="{bootstrap}",
        )

    def start(self, *, bootstrap: bool = True) -> None:
        """Start the process with the command of the deploy file."""
        self._settings.write_text(self._text.format(bootstrap=str(bootstrap).lower()))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = shlex.split(deploy["roles"]["entry"]["run"])
        if words[0] == "python3":
            words[0] = sys.executable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": os.pathsep.join((str(ROOT / "target" / "deps"), str(ROOT))),
            "PYTHONDONTWRITEBYTECODE": "1",
            VARIABLE: str(self._settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process, also if it is stopped."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    def lines(self, *names: str) -> list[str]:
        """Return the lines that its processes have logged about some events."""
        if not self.log.exists():
            return []
        return [
            line
            for line in self.log.read_text(errors="replace").splitlines()
            if any(name in line for name in names)
        ]


class Instances:
    """All instances of a site; their processes end with the context."""

    def __init__(self, net: str, count: int, store: str) -> None:
        self._folder = tempfile.TemporaryDirectory()
        path = Path(self._folder.name)
        self.all = [Instance(net, number, count, path, store) for number in range(count)]

    def __enter__(self) -> list[Instance]:
        # So that the processes are ended, too, if this one is.
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        return self.all

    def __exit__(self, *_: object) -> None:
        for instance in self.all:
            instance.end()
        self._folder.cleanup()
