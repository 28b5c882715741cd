"""Measures what tokens, requests and open sessions cost one entry as a real process on loopback.

Streams go through the entry from client processes; the entry's processor time and memory are
read from `/proc`. Every token is written by itself, which is the dearest case.
"""

import subprocess
import sys
from pathlib import Path

import trio
from path_site import PathDeployment, open_path_deployment

from scripts._slope import MICROSECONDS, fit, print_slope

NET = "127.28"
ENGINES = 6
IDLE_ENGINES = (1, 6)
STEP_S = 0.05
STREAMS = (16, 32, 64)
TOKENS = 200
REQUESTS = (16, 32, 64)
SHORT_TOKENS = 1
SETTLE_S = 2.0
IDLE_S = 8.0
AT_ONCE = 16
"""Streams one client process opens at once; a burst of many more fills the listening backlog."""
STAGGER_S = 1.0
WARM_S = 10.0
"""Time in which the account's limits are lent whole; before it a burst of requests is refused."""
KILOBYTE = 1024
LOAD_CLIENT = Path(__file__).parent / "load_client.py"


async def main() -> None:
    """Measure an idle entry, then one under load."""
    idle = {}
    for engines in IDLE_ENGINES:
        async with open_path_deployment(NET, engines, STEP_S) as site:
            await trio.sleep(SETTLE_S)
            idle[engines] = await _idle_us(site)
    print_slope(fit("entry_idle_cpu", "us/s", "runner", idle))
    await _show_load()


async def _show_load() -> None:
    """Measure under load; the sizes grow, so that the peak of memory belongs to the last one."""
    async with open_path_deployment(NET, ENGINES, STEP_S) as site:
        await trio.sleep(WARM_S)
        await _load(site, AT_ONCE, SHORT_TOKENS)
        print_slope(fit("entry_idle_memory", "bytes", "process", {1: _peak_bytes(site)}))
        short = {count: await _load(site, count, SHORT_TOKENS) for count in REQUESTS}
        print_slope(fit("entry_request_cpu", "us", "request", short))
        cpu_by_tokens = {}
        peak_by_streams = {}
        for streams in STREAMS:
            cpu_by_tokens[streams * TOKENS] = await _load(site, streams, TOKENS)
            peak_by_streams[streams] = _peak_bytes(site)
        print_slope(fit("entry_token_cpu", "us", "token", cpu_by_tokens))
        print_slope(fit("entry_session_memory", "bytes", "session", peak_by_streams))


async def _idle_us(site: PathDeployment) -> float:
    before_s = site.entry_cpu_s()
    await trio.sleep(IDLE_S)
    return (site.entry_cpu_s() - before_s) / IDLE_S * MICROSECONDS


def _peak_bytes(site: PathDeployment) -> int:
    lines = Path(f"/proc/{site.entry_pid}/status").read_text().splitlines()
    [peak] = [line.split()[1] for line in lines if line.startswith("VmHWM")]
    return int(peak) * KILOBYTE


async def _load(site: PathDeployment, streams: int, tokens: int) -> float:
    """Stream through the entry; give its processor time in microseconds."""
    before_s = site.entry_cpu_s()
    running = []
    for _ in range(streams // AT_ONCE):
        running.append(_client(site, AT_ONCE, tokens))
        await trio.sleep(STAGGER_S)
    while any(process.poll() is None for process in running):
        await trio.sleep(0.05)
    failed = [process.returncode for process in running if process.returncode]
    if failed:
        raise RuntimeError(f"load clients ended with {failed}")
    return (site.entry_cpu_s() - before_s) * MICROSECONDS


def _client(site: PathDeployment, streams: int, tokens: int) -> subprocess.Popen:
    command = [sys.executable, LOAD_CLIENT, site.entry_url, str(streams), str(tokens)]
    process = subprocess.Popen(
        command,
        stdin=subprocess.PIPE,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    process.stdin.write(site.key + "\n")
    process.stdin.close()
    return process


if __name__ == "__main__":
    trio.run(main)
