"""Signals to an instance of the platform while it starts and while it stops."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import contextmanager, suppress
from pathlib import Path

from egretstack.platform import SETTINGS_VARIABLE
from tests.platform_site import free_loopback_net
from tests.support import check, tests_of

load_tests = tests_of(globals())

TIMEOUT_S = 60
PERIOD_S = 0.02
"""Time between two signals of a series."""
LIBRARY = "_cmsgpack"
"""A library that is loaded with the program's own modules."""
SETTINGS = """node-name=edge-1
zone=a
ip={ip}
listen.front={ip}:8740
listen.ready-address={ip}:8749
internal-ports=7200,7215
bounds.grace-s=1
platform.address={ip}:9
"""


@contextmanager
def entry():
    """Start an instance without a store; yield its process and the path of its log."""
    ip = f"127.{free_loopback_net()}.7.1"
    with tempfile.TemporaryDirectory() as folder:
        settings, log = Path(folder, "node.conf"), Path(folder, "log")
        settings.write_text(SETTINGS.format(ip=ip))
        with log.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", "egretstack.programs.platform_entry"],
                env=os.environ | {SETTINGS_VARIABLE: str(settings)},
                stdout=output,
                stderr=output,
            )
        try:
            yield process, log
        finally:
            process.kill()
            process.wait()


def until(condition):
    """Wait until a condition holds."""
    until_s = time.monotonic() + TIMEOUT_S
    while not condition():
        check.assertLess(time.monotonic(), until_s)
        time.sleep(0.001)


def has_loaded(process, library):
    """Return whether a process has loaded a library, or has ended."""
    with suppress(OSError):
        return library in Path(f"/proc/{process.pid}/maps").read_text()
    return True


def outlives_hangups(process):
    """Return whether SIGHUP is caught or ignored by a process."""
    with suppress(OSError):
        lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
        masks = [
            int(line.split()[1], 16) for line in lines if line.startswith(("SigIgn", "SigCgt"))
        ]
        return any(mask >> (signal.SIGHUP - 1) & 1 for mask in masks)
    return False


def test_a_hangup_while_the_program_loads_does_not_end_it():
    # Guards against the default action of SIGHUP, which ends a process that is told of changed
    # settings in the first half second after its start.
    with entry() as (process, log):
        until(lambda: has_loaded(process, LIBRARY))
        check.assertTrue(outlives_hangups(process))
        while b'"started"' not in log.read_bytes():
            process.send_signal(signal.SIGHUP)
            time.sleep(PERIOD_S)
            check.assertIsNone(process.poll(), log.read_text())
        process.terminate()
        check.assertEqual(process.wait(TIMEOUT_S), 0, log.read_text())


def test_hangups_in_series_beside_a_stop_change_nothing_of_it():
    # Guards against a signal that ends a process within its grace period.
    with entry() as (process, log):
        until(lambda: b'"started"' in log.read_bytes())
        process.terminate()
        until_s = time.monotonic() + TIMEOUT_S
        while process.poll() is None and time.monotonic() < until_s:
            process.send_signal(signal.SIGHUP)
            time.sleep(PERIOD_S)
        check.assertEqual(process.returncode, 0, log.read_text())
        check.assertIn(b'"stopped"', log.read_bytes())
