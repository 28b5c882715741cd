"""A deployment of real processes on loopback: platform, engines, plain services, entries and
stewards.

    async with open_deployment(entries=2) as deployment:
        async with deployment.stream(100) as events: ...
        deployment.kill("entry-0")

Every process is ended by the id it was started with. Tests that use it run on the real clock and
assert on what happened, never on how long it took. With `relays=True` the engines are listed at
the addresses of relays, which run inside the test and can silence open connections.
"""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import httpx
import trio
from httpx_sse import EventSource

from egretstack.operators import new_account_key, new_session_key
from tests.process.relay import Relay

NET_PREFIX = "127.21"
BIN = Path(sys.executable).parent
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 10.0
MODEL = "story"
ACCOUNT = "acme"
OTHER_ACCOUNT = "other"
PLAIN_SERVICE = "holds"
ENTRY_PORTS = {
    "caller": 8080,
    "operator": 9100,
    "steward-operator": 9101,
    "peer": 9200,
    "steward": 9201,
}

_SETTINGS = """[instance]
id = {name}
zone = a
operator_address = {host}:{operator}
peer_address = {host}:{peer}

[sessions]
key_file = session.keys
{sessions}
[platform]
object_api = {platform}

[logs]
level = INFO
"""
_CALLER_SETTINGS = """
[caller]
address = {host}:8080
answer_life_s = 1
send_timeout_s = {send_timeout_s}
heartbeat_s = 1

[engines]
silence_s = {silence_s}
"""
_CONTRACT = """[contract]
account = {account}
key_sha256 = {digest}

[limits]
requests_per_s = 1000
burst = 1000
concurrency = 1000
max_output_tokens = 100000
"""
_ENGINE_SERVICE = f"[service]\nname = llm\nkind = engine\n\n[engine]\nmodels = {MODEL}\n"
_PLAIN_SERVICE = f"[service]\nname = {PLAIN_SERVICE}\nkind = plain\n"


@dataclass(frozen=True)
class DeploymentOptions:
    """Size and timing of a deployment; `step_s` is the time between an engine's tokens."""

    entries: int = 2
    stewards: int = 0
    engines: int = 1
    plain: int = 0
    step_s: float = 0.05
    call_delay_s: float = 0.0
    relays: bool = False
    silence_s: float = 2.0
    resume_window_s: float = 30.0
    send_timeout_s: float = 30.0


@dataclass
class ProcessDeployment:
    """A running deployment."""

    options: DeploymentOptions
    net: str
    folder: Path
    client: httpx.AsyncClient
    process_by_name: dict[str, subprocess.Popen] = field(default_factory=dict)
    relay_by_engine: dict[str, Relay] = field(default_factory=dict)
    key_by_account: dict[str, str] = field(default_factory=dict)

    @property
    def platform(self) -> str:
        return f"http://{self.net}.10:9000"

    def host(self, name: str) -> str:
        """Return the IP address of an entry, steward, engine, relay or plain service."""
        kind, _, number = name.rpartition("-")
        first = {"entry": 11, "steward": 11, "engine": 50, "relay": 100, "plain": 150}[kind]
        return f"{self.net}.{first + int(number)}"

    def url(self, name: str | int = "entry-0") -> str:
        """Return the base URL of an entry (also by its number), an engine or a plain service."""
        if isinstance(name, int):
            name = f"entry-{name}"
        port = 8080 if name.startswith("entry") else 8000
        return f"http://{self.host(name)}:{port}"

    def headers(self, account: str = ACCOUNT) -> dict[str, str]:
        """Return the headers that authenticate an account."""
        return {"Authorization": f"Bearer {self.key_by_account[account]}"}

    async def start(self, name: str, *arguments: str | Path) -> None:
        """Start a process; its log is kept for as long as the deployment runs."""
        with (self.folder / f"{name}.log").open("ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                [str(argument) for argument in arguments], stdout=log, stderr=log, cwd=REPOSITORY
            )

    async def start_entry(self, name: str) -> None:
        """Start an entry and wait until it has its configuration."""
        path = self.folder / f"{name}.ini"
        path.write_text(self._settings(name, ENTRY_PORTS["operator"], ENTRY_PORTS["peer"], True))
        await self.start(name, BIN / "egret-entry", path)
        await self.wait_for(f"{self.url(name)}/v1/entries", self.headers())

    async def start_steward(self, name: str) -> None:
        """Start the steward of the instance with the same number."""
        path = self.folder / f"{name}.ini"
        operator, peer = ENTRY_PORTS["steward-operator"], ENTRY_PORTS["steward"]
        path.write_text(self._settings(name, operator, peer, False))
        await self.start(name, BIN / "egret-steward", path)
        await self.wait_for(f"http://{self.host(name)}:{operator}/metrics")

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self.process_by_name[name].kill()
        self.process_by_name[name].wait()

    def pause(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self.process_by_name[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process with SIGCONT."""
        self.process_by_name[name].send_signal(signal.SIGCONT)

    def log(self, name: str) -> str:
        """Return what a process has logged so far."""
        return (self.folder / f"{name}.log").read_text()

    async def exit_code(self, name: str) -> int:
        """Wait until a process ends, and return its exit code."""
        process = self.process_by_name[name]
        while process.poll() is None:
            await trio.sleep(0.05)
        return process.returncode

    async def apply(self, kind: str, name: str, text: str) -> None:
        """Apply a contract or a service description with egretctl."""
        path = self.folder / f"{name}.ini"
        path.write_text(text)
        command = [BIN / "egretctl", kind, "apply", path, "--platform", self.platform]
        await trio.run_process([str(word) for word in command], capture_stdout=True)

    async def wait_for(self, url: str, headers: dict[str, str] | None = None) -> None:
        """Wait until a URL answers with a success status."""
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                try:
                    if (await self.client.get(url, headers=headers)).is_success:
                        return
                except httpx.HTTPError:
                    pass
                await trio.sleep(0.1)

    @asynccontextmanager
    async def stream(
        self, tokens: int, entry: str = "entry-0"
    ) -> AsyncIterator[AsyncIterator[dict]]:
        """Request a streamed answer of `tokens` tokens; yield an iterator over its events."""
        body = {"model": MODEL, "input": f"a story tokens:{tokens}", "stream": True}
        url = f"{self.url(entry)}/v1/responses"
        opened = self.client.stream("POST", url, json=body, headers=self.headers())
        async with opened as response:
            yield _read_events(response)

    @asynccontextmanager
    async def resume_stream(
        self, session_id: str, after: int, entry: str
    ) -> AsyncIterator[AsyncIterator[dict]]:
        """Resume an answer after event number `after`; yield an iterator over its events."""
        url = f"{self.url(entry)}/v1/responses/{session_id}"
        params = {"stream": "true", "starting_after": str(after)}
        opened = self.client.stream("GET", url, params=params, headers=self.headers())
        async with opened as response:
            yield _read_events(response)

    async def list_service(self, name: str, hosts: dict[str, str], ports: dict[str, int]) -> None:
        """Write the members of a service to the instance list."""
        await self.client.put(
            f"{self.platform}/instances/{name}",
            json={
                "metadata": {"name": name, "labels": {"kubernetes.io/service-name": name}},
                "ports": [{"name": port, "port": number} for port, number in ports.items()],
                "endpoints": [
                    {
                        "addresses": [host],
                        "zone": "a",
                        "targetRef": {"name": member},
                        "conditions": {},
                    }
                    for member, host in hosts.items()
                ],
            },
        )

    def _settings(self, name: str, operator: int, peer: int, is_entry: bool) -> str:
        options = self.options
        window = f"resume_window_s = {options.resume_window_s}\n"
        text = _SETTINGS.format(
            name=name.replace("steward", "entry"),
            host=self.host(name),
            operator=operator,
            peer=peer,
            platform=self.platform,
            sessions=window if is_entry else "",
        )
        if not is_entry:
            return text
        return text + _CALLER_SETTINGS.format(
            host=self.host(name),
            send_timeout_s=options.send_timeout_s,
            silence_s=options.silence_s,
        )


REPOSITORY = Path(__file__).parent.parent.parent


def open_simple_deployment(entries: int, step_s: float = 0.02, call_delay_s: float = 0.0):
    """Run a deployment with one engine and one plain service."""
    return open_deployment(entries=entries, plain=1, step_s=step_s, call_delay_s=call_delay_s)


@asynccontextmanager
async def open_deployment(**options: object) -> AsyncIterator[ProcessDeployment]:
    """Run a deployment within the block; the options are those of `DeploymentOptions`."""
    timeout = httpx.Timeout(60.0)
    with tempfile.TemporaryDirectory() as folder:
        async with (
            httpx.AsyncClient(trust_env=False, timeout=timeout) as client,
            trio.open_nursery() as nursery,
        ):
            deployment = ProcessDeployment(
                DeploymentOptions(**options), _find_free_net(), Path(folder), client
            )
            try:
                await _start(deployment, nursery)
                yield deployment
            finally:
                nursery.cancel_scope.cancel()
                await _stop(deployment)


async def _start(deployment: ProcessDeployment, nursery: trio.Nursery) -> None:
    options = deployment.options
    await deployment.start(
        "platform", sys.executable, "-m", "standins", "platform", f"{deployment.net}.10:9000"
    )
    engines = [f"engine-{number}" for number in range(options.engines)]
    plain = [f"plain-{number}" for number in range(options.plain)]
    for name in engines:
        address = f"{deployment.host(name)}:8000"
        arguments = ("engine", address, MODEL, "--step-s", str(options.step_s))
        await deployment.start(name, sys.executable, "-m", "standins", *arguments)
    delay = ("--delay-s", str(options.call_delay_s))
    for name in plain:
        await deployment.start(
            name, sys.executable, "-m", "standins", "plain", f"{deployment.host(name)}:8000", *delay
        )
    await deployment.wait_for(f"{deployment.platform}/calls")
    for name in engines:
        await deployment.wait_for(f"{deployment.url(name)}/metrics")
    for name in plain:
        await deployment.wait_for(f"{deployment.url(name)}/ready")
    await _list_services(deployment, engines, plain, nursery)
    await _configure(deployment)
    for number in range(options.stewards):
        await deployment.start_steward(f"steward-{number}")
    for number in range(options.entries):
        await deployment.start_entry(f"entry-{number}")


async def _list_services(
    deployment: ProcessDeployment, engines: list[str], plain: list[str], nursery: trio.Nursery
) -> None:
    listed = {name: deployment.host(name) for name in engines}
    if deployment.options.relays:
        for number, name in enumerate(engines):
            relay = Relay(deployment.host(f"relay-{number}"), 8000, deployment.host(name), 8000)
            deployment.relay_by_engine[name] = relay
            listed[name] = relay.host
            await nursery.start(relay.run)
    entries = {
        f"entry-{n}": deployment.host(f"entry-{n}") for n in range(deployment.options.entries)
    }
    await deployment.list_service("llm", listed, {"http": 8000})
    await deployment.list_service(
        PLAIN_SERVICE, {name: deployment.host(name) for name in plain}, {"http": 8000}
    )
    await deployment.list_service("egret-entry", entries, ENTRY_PORTS)


async def _configure(deployment: ProcessDeployment) -> None:
    (deployment.folder / "session.keys").write_text(new_session_key() + "\n")
    await deployment.apply("service", "llm", _ENGINE_SERVICE)
    await deployment.apply("service", PLAIN_SERVICE, _PLAIN_SERVICE)
    for account in (ACCOUNT, OTHER_ACCOUNT):
        key, digest = new_account_key()
        deployment.key_by_account[account] = key
        deployment.client.headers.update(deployment.headers())
        await deployment.apply(
            "contract", account, _CONTRACT.format(account=account, digest=digest)
        )


async def _stop(deployment: ProcessDeployment) -> None:
    """Kill every process that was started here; no state has to survive a deployment."""
    for process in deployment.process_by_name.values():
        if process.poll() is None:
            process.kill()
    for process in deployment.process_by_name.values():
        process.wait()


async def _read_events(response: httpx.Response) -> AsyncIterator[dict]:
    if response.is_error:
        await response.aread()
        raise AssertionError(f"{response.status_code} {response.text}")
    async for message in EventSource(response).aiter_sse():
        yield json.loads(message.data)


def _find_free_net() -> str:
    """Return the first three octets of loopback addresses that no other test uses now."""
    numbers = list(range(1, 255))
    random.Random(os.getpid()).shuffle(numbers)
    for number in numbers:
        with socket.socket() as probe:
            try:
                probe.bind((f"{NET_PREFIX}.{number}.10", 9000))
            except OSError:
                continue
        return f"{NET_PREFIX}.{number}"
    raise RuntimeError(f"no free network under {NET_PREFIX}")
