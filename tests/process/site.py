"""A small site of real processes on loopback: stand-ins, and entries by name."""

import os
import subprocess
import sys
import tempfile
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import httpx
import trio

from egretstack.operators import new_account_key, new_session_key

BIN = Path(sys.executable).parent
NET = os.environ.get("DEMO_NET", "127.23")
PLATFORM = f"http://{NET}.0.10:9000"
START_LIMIT_S = 60
STOP_LIMIT_S = 60
ANSWER_LIFE_S = 1
PORTS = {"caller": 8080, "operator": 9100, "peer": 9200}

_ENTRY = """[instance]
id = {name}
zone = a
operator_address = {host}:9100
peer_address = {host}:9200
[caller]
address = {host}:8080
answer_life_s = {life}
[sessions]
key_file = session.keys
[platform]
object_api = {platform}
[logs]
level = WARNING
"""
_SERVICES = {
    "llm": "[service]\nname = llm\nkind = engine\n[engine]\nmodels = story\n",
    "holds": "[service]\nname = holds\nkind = plain\n",
}
_CONTRACT = """[contract]
account = acme
key_sha256 = {digest}
[limits]
max_output_tokens = 20000
"""


@dataclass
class Site:
    """What runs, and a client with the account's key."""

    client: httpx.AsyncClient
    folder: Path
    process_by_name: dict[str, subprocess.Popen] = field(default_factory=dict)

    def url(self, number: int) -> str:
        """Give the callers' base URL of an entry."""
        return f"http://{NET}.0.{number + 11}:8080"

    def start(self, name: str, *command: str | Path) -> None:
        """Start a process."""
        log = (self.folder / f"{name}.log").open("wb")
        with log:
            self.process_by_name[name] = subprocess.Popen(command, stderr=log, stdout=log)

    async def exit_code(self, name: str) -> int:
        """Wait for the end of a process."""
        process = self.process_by_name[name]
        while process.poll() is None:
            await trio.sleep(0.05)
        return process.returncode

    async def wait_for(self, url: str) -> None:
        """Wait until an address answers."""
        with trio.fail_after(START_LIMIT_S):
            while True:
                try:
                    if (await self.client.get(url)).is_success:
                        return
                except httpx.HTTPError:
                    pass
                await trio.sleep(0.1)


@asynccontextmanager
async def open_site(entries: int, step_s: float = 0.02, call_delay_s: float = 0.0):
    """Run a site for the length of the block: one engine, one plain service, some entries."""
    with tempfile.TemporaryDirectory() as name:
        async with httpx.AsyncClient(trust_env=False, timeout=120) as client:
            site = Site(client, Path(name))
            try:
                await _start(site, entries, step_s, call_delay_s)
                yield site
            finally:
                with trio.CancelScope(shield=True):
                    await _stop(site)


async def _start(site: Site, entries: int, step_s: float, call_delay_s: float) -> None:
    engine, plain = f"{NET}.1.1:8000", f"{NET}.1.2:8000"
    standin = (sys.executable, "-m", "standins")
    site.start("platform", *standin, "platform", PLATFORM.removeprefix("http://"))
    site.start("engine", *standin, "engine", engine, "story", "--step-s", str(step_s))
    site.start("plain", *standin, "plain", plain, "--delay-s", str(call_delay_s))
    for url in (f"{PLATFORM}/calls", f"http://{engine}/metrics", f"http://{plain}/ready"):
        await site.wait_for(url)
    hosts = {f"entry-{number}": f"{NET}.0.{number + 11}" for number in range(entries)}
    await list_members(site, "egret-entry", hosts, PORTS)
    await list_members(site, "llm", {"engine-0": f"{NET}.1.1"}, {"http": 8000})
    await list_members(site, "holds", {"holds-0": f"{NET}.1.2"}, {"http": 8000})
    await _configure(site)
    (site.folder / "session.keys").write_text(new_session_key() + "\n")
    for name, host in hosts.items():
        settings = site.folder / f"{name}.ini"
        text = _ENTRY.format(name=name, host=host, life=ANSWER_LIFE_S, platform=PLATFORM)
        settings.write_text(text)
        site.start(name, BIN / "egret-entry", settings)
    for number in range(entries):
        await site.wait_for(site.url(number) + "/v1/entries")


async def _configure(site: Site) -> None:
    key, digest = new_account_key()
    site.client.headers["Authorization"] = f"Bearer {key}"
    texts = [("service", text) for text in _SERVICES.values()]
    texts.append(("contract", _CONTRACT.format(digest=digest)))
    for kind, text in texts:
        path = site.folder / "part.ini"
        path.write_text(text)
        command = [BIN / "egretctl", kind, "apply", path, "--platform", PLATFORM]
        await trio.run_process(command, stdout=subprocess.DEVNULL)


async def list_members(
    site: Site, service: str, hosts: dict[str, str], ports: dict[str, int]
) -> None:
    """Have the instance list name these members of a service."""
    body = {
        "metadata": {"name": service, "labels": {"kubernetes.io/service-name": service}},
        "ports": [{"name": port, "port": number} for port, number in ports.items()],
        "endpoints": [
            {"addresses": [host], "zone": "a", "targetRef": {"name": name}, "conditions": {}}
            for name, host in hosts.items()
        ],
    }
    await site.client.put(f"{PLATFORM}/instances/{service}", json=body)


async def _stop(site: Site) -> None:
    for process in reversed(site.process_by_name.values()):
        if process.poll() is None:
            process.terminate()
    for name, process in site.process_by_name.items():
        with trio.move_on_after(STOP_LIMIT_S):
            await site.exit_code(name)
        if process.poll() is None:
            process.kill()
        process.wait()
