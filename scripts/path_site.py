"""Starts one entry and its stand-ins as processes on loopback, for measurements.

The engines accept the same requests directly and through the entry. At the end, only the processes
that were started here are terminated.
"""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import httpx
import trio

from egretstack.operators import new_account_key, new_session_key

BIN = Path(sys.executable).parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
ANSWER_TTL_S = 1
MODEL = "story"
_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")

_ENTRY = """[instance]
id = entry-a
zone = a
operator_address = {net}.0.11:9100
peer_address = {net}.0.11:9200

[caller]
address = {net}.0.11:8080
answer_life_s = {life}

[sessions]
key_file = session.keys

[platform]
object_api = http://{net}.0.10:9000

[logs]
level = ERROR
"""
_CONTRACT = """[contract]
account = load
key_sha256 = {digest}

[limits]
requests_per_s = 100000
burst = 100000
concurrency = 100000
max_output_tokens = 100000
"""
_SERVICE = """[service]
name = llm
kind = engine

[engine]
models = story
kv_capacity_tokens = 10000000
max_batch = 1000
"""


@dataclass
class PathDeployment:
    """A running deployment: URLs, the API key, and the process id of the entry."""

    entry_url: str
    engine_urls: list[str]
    key: str
    entry_pid: int

    def entry_cpu_s(self) -> float:
        """Return the processor time that the entry has used, in seconds."""
        fields = Path(f"/proc/{self.entry_pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


@asynccontextmanager
async def open_path_deployment(
    net: str, engines: int, step_s: float
) -> AsyncIterator[PathDeployment]:
    """Run the deployment for the duration of the block."""
    processes: list[subprocess.Popen] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            yield await _start(Path(folder), net, engines, step_s, processes)
        finally:
            await _stop(processes)


async def _start(
    folder: Path, net: str, engines: int, step_s: float, processes: list[subprocess.Popen]
) -> PathDeployment:
    platform = f"http://{net}.0.10:9000"
    hosts = [f"{net}.1.{number + 1}" for number in range(engines)]
    processes.append(_start_process("-m", "standins", "platform", f"{net}.0.10:9000"))
    for host in hosts:
        processes.append(
            _start_process(
                *("-m", "standins", "engine", f"{host}:8000", MODEL, "--step-s", str(step_s)),
                *("--kv-tokens", "10000000", "--max-batch", "1000"),
            )
        )
    async with httpx.AsyncClient(trust_env=False) as client:
        await _wait_until_ready(client, f"{platform}/calls")
        for host in hosts:
            await _wait_until_ready(client, f"http://{host}:8000/metrics")
        for name, slice_body in _endpoint_slices(net, hosts).items():
            await client.put(f"{platform}/instances/{name}", json=slice_body)
        key = _apply_configuration(folder, platform)
        (folder / "session.keys").write_text(new_session_key() + "\n")
        (folder / "entry.ini").write_text(_ENTRY.format(net=net, life=ANSWER_TTL_S))
        entry = subprocess.Popen([BIN / "egret-entry", folder / "entry.ini"])
        processes.append(entry)
        url = f"http://{net}.0.11:8080"
        await _wait_until_ready(client, f"{url}/v1/entries", {"Authorization": f"Bearer {key}"})
    return PathDeployment(url, [f"http://{host}:8000" for host in hosts], key, entry.pid)


async def _stop(processes: list[subprocess.Popen]) -> None:
    for process in reversed(processes):
        process.terminate()
    for process in processes:
        with trio.move_on_after(STOP_TIMEOUT_S, shield=True):
            while process.poll() is None:
                await trio.sleep(0.05)
        if process.poll() is None:
            process.kill()
        process.wait()


def _start_process(*arguments: str) -> subprocess.Popen:
    return subprocess.Popen([sys.executable, *arguments], stderr=subprocess.DEVNULL)


def _apply_configuration(folder: Path, platform: str) -> str:
    key, digest = new_account_key()
    (folder / "contract.ini").write_text(_CONTRACT.format(digest=digest))
    (folder / "service.ini").write_text(_SERVICE)
    for kind in ("service", "contract"):
        command = [BIN / "egretctl", kind, "apply", folder / f"{kind}.ini", "--platform", platform]
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
    return key


async def _wait_until_ready(
    client: httpx.AsyncClient, url: str, headers: dict[str, str] | None = None
) -> None:
    with trio.fail_after(START_TIMEOUT_S):
        while True:
            try:
                if (await client.get(url, headers=headers)).is_success:
                    return
            except httpx.HTTPError:
                pass
            await trio.sleep(0.1)


def _endpoint_slices(net: str, hosts: list[str]) -> dict[str, dict]:
    entry_ports = {"caller": 8080, "operator": 9100, "peer": 9200}
    return {
        "egret-entry": _endpoint_slice("egret-entry", {"entry-a": f"{net}.0.11"}, entry_ports),
        "llm": _endpoint_slice(
            "llm", {f"engine-{n}": host for n, host in enumerate(hosts)}, {"http": 8000}
        ),
    }


def _endpoint_slice(name: str, host_by_id: dict[str, str], ports: dict[str, int]) -> dict:
    return {
        "metadata": {"name": name, "labels": {"kubernetes.io/service-name": name}},
        "ports": [{"name": port, "port": number} for port, number in ports.items()],
        "endpoints": [
            {"addresses": [host], "zone": "a", "targetRef": {"name": member}, "conditions": {}}
            for member, host in host_by_id.items()
        ],
    }


def print_figure(name: str, **values: object) -> None:
    """Print one figure as a JSON line."""
    print(json.dumps({"figure": name, **values}), flush=True)
