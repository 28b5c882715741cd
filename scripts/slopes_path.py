"""Measures the cost of tokens, requests and open sessions for one entry process on loopback.

Client processes open streams through the entry; the entry's processor time and memory are read
from `/proc`. Every token is written separately, which is the most expensive case.
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
IDLE_WARM_UP_S = 2.0
IDLE_S = 8.0
STREAMS_PER_CLIENT = 16
"""Streams that one client process opens at once; many more would fill the listen backlog."""
CLIENT_START_INTERVAL_S = 1.0
GRANT_WARM_UP_S = 10.0
"""Time until the account's whole limits are granted; before it, a burst is refused."""
KILOBYTE = 1024
LOAD_CLIENT = Path(__file__).parent / "load_client.py"


async def main() -> None:
    """Measure an idle entry, then an entry under load."""
    idle_us_by_engines = {}
    for engines in IDLE_ENGINES:
        async with open_path_deployment(NET, engines, STEP_S) as deployment:
            await trio.sleep(IDLE_WARM_UP_S)
            idle_us_by_engines[engines] = await _measure_idle_us(deployment)
    print_slope(fit("entry_idle_cpu", "us/s", "runner", idle_us_by_engines))
    await _measure_under_load()


async def _measure_under_load() -> None:
    """Measure under load; sizes increase, so that the peak memory is that of the latest size."""
    async with open_path_deployment(NET, ENGINES, STEP_S) as deployment:
        await trio.sleep(GRANT_WARM_UP_S)
        await _run_load(deployment, STREAMS_PER_CLIENT, SHORT_TOKENS)
        print_slope(fit("entry_idle_memory", "bytes", "process", {1: _peak_bytes(deployment)}))
        short = {count: await _run_load(deployment, count, SHORT_TOKENS) for count in REQUESTS}
        print_slope(fit("entry_request_cpu", "us", "request", short))
        cpu_by_tokens = {}
        peak_by_streams = {}
        for streams in STREAMS:
            cpu_by_tokens[streams * TOKENS] = await _run_load(deployment, streams, TOKENS)
            peak_by_streams[streams] = _peak_bytes(deployment)
        print_slope(fit("entry_token_cpu", "us", "token", cpu_by_tokens))
        print_slope(fit("entry_session_memory", "bytes", "session", peak_by_streams))


async def _measure_idle_us(deployment: PathDeployment) -> float:
    before_s = deployment.entry_cpu_s()
    await trio.sleep(IDLE_S)
    return (deployment.entry_cpu_s() - before_s) / IDLE_S * MICROSECONDS


def _peak_bytes(deployment: PathDeployment) -> int:
    lines = Path(f"/proc/{deployment.entry_pid}/status").read_text().splitlines()
    [peak] = [line.split()[1] for line in lines if line.startswith("VmHWM")]
    return int(peak) * KILOBYTE


async def _run_load(deployment: PathDeployment, streams: int, tokens: int) -> float:
    """Open streams through the entry; return its processor time in microseconds."""
    before_s = deployment.entry_cpu_s()
    processes = []
    for _ in range(streams // STREAMS_PER_CLIENT):
        processes.append(_start_client(deployment, STREAMS_PER_CLIENT, tokens))
        await trio.sleep(CLIENT_START_INTERVAL_S)
    while any(process.poll() is None for process in processes):
        await trio.sleep(0.05)
    failed = [process.returncode for process in processes if process.returncode]
    if failed:
        raise RuntimeError(f"load clients ended with {failed}")
    return (deployment.entry_cpu_s() - before_s) * MICROSECONDS


def _start_client(deployment: PathDeployment, streams: int, tokens: int) -> subprocess.Popen:
    command = [sys.executable, LOAD_CLIENT, deployment.entry_url, str(streams), str(tokens)]
    process = subprocess.Popen(
        command,
        stdin=subprocess.PIPE,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    process.stdin.write(deployment.key + "\n")
    process.stdin.close()
    return process


if __name__ == "__main__":
    trio.run(main)
