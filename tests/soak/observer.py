"""Records what the soak's own process and the entries' processes had of the processor.

All stand-ins, proxies and clients share one process. If its loop is late, every stream is, whatever
the entries do; the records of a seed tell this apart from faults of the entries.
"""

import os
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

import trio

from standins.platform import EngineStandIn
from tests.soak.clients import Record
from tests.soak.entries import EntryProcess

PERIOD_S = 1.0
PROBE_S = 0.05
"""How often the loop's delay is measured."""
CPU_FIELDS = slice(11, 13)
"""User and system time in `/proc/PID/stat`, after the name of the program."""


@dataclass
class _Usage:
    """Processor time that a process has used, in seconds."""

    pid: int | None = None
    used_s: float = 0.0


class Observer:
    """Writes one line for each second of a seed."""

    def __init__(
        self,
        entries: Iterable[EntryProcess],
        engines: Iterable[EngineStandIn],
        open_streams: Callable[[], int],
    ) -> None:
        self.lines: list[str] = []
        self._entries = tuple(entries)
        self._engines = tuple(engines)
        self._open_streams = open_streams
        self._usage_by_name = {entry.name: _Usage() for entry in self._entries}
        self._begun_s = 0.0

    async def run(self) -> None:
        """Record until cancelled."""
        self._begun_s = trio.current_time()
        while True:
            own_s, began_s = time.process_time(), trio.current_time()
            delays = await self._measure_delays()
            took_s = trio.current_time() - began_s
            own_share = (time.process_time() - own_s) / took_s
            shares = {entry.name: round(self._share(entry, took_s), 2) for entry in self._entries}
            running = [len(engine.running()) for engine in self._engines]
            self.note(
                f"loop late by {1000 * sum(delays) / len(delays):.0f} ms on average, "
                f"{1000 * max(delays):.0f} ms at most; processor: soak {own_share:.2f}, "
                f"entries {shares}; streams running {running}, at clients {self._open_streams()}; "
                f"load {os.getloadavg()[0]:.1f}"
            )

    def note(self, text: str) -> None:
        """Add a line of text with the time since the start."""
        self.lines.append(f"{trio.current_time() - self._begun_s:6.1f} {text}")

    def note_attempt(self, record: Record, took_s: float) -> None:
        """Add how an attempt in a wait for service ended."""
        if record.status == 200 and record.whole:
            return
        self.note(
            f"{record.kind.value} {record.attempt} at {record.entry} not served: "
            f"status {record.status} {record.refused_as}, {len(record.ids)} events, {took_s:.2f} s"
        )

    async def _measure_delays(self) -> list[float]:
        delays = []
        until_s = trio.current_time() + PERIOD_S
        while (now_s := trio.current_time()) < until_s:
            await trio.sleep(PROBE_S)
            delays.append(trio.current_time() - now_s - PROBE_S)
        return delays

    def _share(self, entry: EntryProcess, took_s: float) -> float:
        """Return the share of a processor that an entry used since it was read last."""
        usage = self._usage_by_name[entry.name]
        pid = None if entry.process is None else entry.process.pid
        used_s = _processor_time_s(pid)
        before_s = usage.used_s if usage.pid == pid else 0.0
        usage.pid, usage.used_s = pid, used_s
        return max(0.0, used_s - before_s) / took_s


def _processor_time_s(pid: int | None) -> float:
    """Return the processor time of a process; 0 if it has ended."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    ticks = text.rpartition(")")[2].split()[CPU_FIELDS]
    return sum(map(int, ticks)) / os.sysconf("SC_CLK_TCK")
