"""A site of real processes on loopback: platform, engines, plain services, entries, stewards.

    async with process_site(entries=2) as site:
        async with site.stream({...}) as events: ...
        site.kill("entry-0")

Every process is ended by the id it was started with. Tests that use it run on the real clock and
assert on what happened, never on how long it took. With `relays=True` the engines are listed at
relays, which run inside the test and can make open connections silent.
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

NET = "127.21"
BIN = Path(sys.executable).parent
START_LIMIT_S = 60.0
STOP_LIMIT_S = 10.0
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
_CALLER = """
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
_ENGINES = f"[service]\nname = llm\nkind = engine\n\n[engine]\nmodels = {MODEL}\n"
_PLAIN = f"[service]\nname = {PLAIN_SERVICE}\nkind = plain\n"


@dataclass(frozen=True)
class SiteOptions:
    """What a site has. `step_s` is the time between an engine's tokens, in seconds."""

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
class ProcessSite:
    """The running site."""

    options: SiteOptions
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
        """Give the IP number of an entry's instance, or of an engine itself."""
        kind, _, number = name.rpartition("-")
        first = {"entry": 11, "steward": 11, "engine": 50, "relay": 100, "plain": 150}[kind]
        return f"{self.net}.{first + int(number)}"

    def url(self, name: str | int = "entry-0") -> str:
        """Give the base URL of an entry (also by its number), an engine or a plain service."""
        if isinstance(name, int):
            name = f"entry-{name}"
        port = 8080 if name.startswith("entry") else 8000
        return f"http://{self.host(name)}:{port}"

    def headers(self, account: str = ACCOUNT) -> dict[str, str]:
        """Give the headers that authenticate an account."""
        return {"Authorization": f"Bearer {self.key_by_account[account]}"}

    async def start(self, name: str, *arguments: str | Path) -> None:
        """Start a process; its log is kept for as long as the site runs."""
        with (self.folder / f"{name}.log").open("ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                [str(one) for one in arguments], stdout=log, stderr=log, cwd=REPOSITORY
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
        """End a process at once."""
        self.process_by_name[name].kill()
        self.process_by_name[name].wait()

    def freeze(self, name: str) -> None:
        """Stop a process without ending it."""
        self.process_by_name[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self.process_by_name[name].send_signal(signal.SIGCONT)

    def log(self, name: str) -> str:
        """Read what a process has written so far."""
        return (self.folder / f"{name}.log").read_text()

    async def exit_code(self, name: str) -> int:
        """Wait for the end of a process."""
        process = self.process_by_name[name]
        while process.poll() is None:
            await trio.sleep(0.05)
        return process.returncode

    async def apply(self, kind: str, name: str, text: str) -> None:
        """Accept a contract or a service description with egretctl."""
        path = self.folder / f"{name}.ini"
        path.write_text(text)
        command = [BIN / "egretctl", kind, "apply", path, "--platform", self.platform]
        await trio.run_process([str(one) for one in command], capture_stdout=True)

    async def wait_for(self, url: str, headers: dict[str, str] | None = None) -> None:
        """Wait until a URL answers well."""
        with trio.fail_after(START_LIMIT_S):
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
        """Create a streamed answer of so many tokens; give its events."""
        body = {"model": MODEL, "input": f"a story tokens:{tokens}", "stream": True}
        url = f"{self.url(entry)}/v1/responses"
        opened = self.client.stream("POST", url, json=body, headers=self.headers())
        async with opened as response:
            yield _events(response)

    @asynccontextmanager
    async def resumed(
        self, session_id: str, after: int, entry: str
    ) -> AsyncIterator[AsyncIterator[dict]]:
        """Go on with an answer after an event; give its events."""
        url = f"{self.url(entry)}/v1/responses/{session_id}"
        params = {"stream": "true", "starting_after": str(after)}
        opened = self.client.stream("GET", url, params=params, headers=self.headers())
        async with opened as response:
            yield _events(response)

    async def list_service(self, name: str, hosts: dict[str, str], ports: dict[str, int]) -> None:
        """Put the members of a service in the instance list."""
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
        return text + _CALLER.format(
            host=self.host(name),
            send_timeout_s=options.send_timeout_s,
            silence_s=options.silence_s,
        )


REPOSITORY = Path(__file__).parent.parent.parent


def open_site(entries: int, step_s: float = 0.02, call_delay_s: float = 0.0):
    """Give a site with one engine and one plain service."""
    return process_site(entries=entries, plain=1, step_s=step_s, call_delay_s=call_delay_s)


@asynccontextmanager
async def process_site(**options: object) -> AsyncIterator[ProcessSite]:
    """Run a site for the length of the block; the options are those of `SiteOptions`."""
    timeout = httpx.Timeout(60.0)
    with tempfile.TemporaryDirectory() as folder:
        async with (
            httpx.AsyncClient(trust_env=False, timeout=timeout) as client,
            trio.open_nursery() as nursery,
        ):
            site = ProcessSite(SiteOptions(**options), _free_net(), Path(folder), client)
            try:
                await _start(site, nursery)
                yield site
            finally:
                nursery.cancel_scope.cancel()
                await _stop(site)


async def _start(site: ProcessSite, nursery: trio.Nursery) -> None:
    options = site.options
    await site.start(
        "platform", sys.executable, "-m", "standins", "platform", f"{site.net}.10:9000"
    )
    engines = [f"engine-{number}" for number in range(options.engines)]
    plain = [f"plain-{number}" for number in range(options.plain)]
    for name in engines:
        address = f"{site.host(name)}:8000"
        arguments = ("engine", address, MODEL, "--step-s", str(options.step_s))
        await site.start(name, sys.executable, "-m", "standins", *arguments)
    delay = ("--delay-s", str(options.call_delay_s))
    for name in plain:
        await site.start(
            name, sys.executable, "-m", "standins", "plain", f"{site.host(name)}:8000", *delay
        )
    await site.wait_for(f"{site.platform}/calls")
    for name in engines:
        await site.wait_for(f"{site.url(name)}/metrics")
    for name in plain:
        await site.wait_for(f"{site.url(name)}/ready")
    await _list(site, engines, plain, nursery)
    await _configure(site)
    for number in range(options.stewards):
        await site.start_steward(f"steward-{number}")
    for number in range(options.entries):
        await site.start_entry(f"entry-{number}")


async def _list(
    site: ProcessSite, engines: list[str], plain: list[str], nursery: trio.Nursery
) -> None:
    listed = {name: site.host(name) for name in engines}
    if site.options.relays:
        for number, name in enumerate(engines):
            relay = Relay(site.host(f"relay-{number}"), 8000, site.host(name), 8000)
            site.relay_by_engine[name] = relay
            listed[name] = relay.host
            await nursery.start(relay.run)
    entries = {f"entry-{n}": site.host(f"entry-{n}") for n in range(site.options.entries)}
    await site.list_service("llm", listed, {"http": 8000})
    await site.list_service(PLAIN_SERVICE, {one: site.host(one) for one in plain}, {"http": 8000})
    await site.list_service("egret-entry", entries, ENTRY_PORTS)


async def _configure(site: ProcessSite) -> None:
    (site.folder / "session.keys").write_text(new_session_key() + "\n")
    await site.apply("service", "llm", _ENGINES)
    await site.apply("service", PLAIN_SERVICE, _PLAIN)
    for account in (ACCOUNT, OTHER_ACCOUNT):
        key, digest = new_account_key()
        site.key_by_account[account] = key
        site.client.headers.update(site.headers())
        await site.apply("contract", account, _CONTRACT.format(account=account, digest=digest))


async def _stop(site: ProcessSite) -> None:
    """End every process that was started here; nothing of a site is worth a graceful end."""
    for process in site.process_by_name.values():
        if process.poll() is None:
            process.kill()
    for process in site.process_by_name.values():
        process.wait()


async def _events(response: httpx.Response) -> AsyncIterator[dict]:
    if response.is_error:
        await response.aread()
        raise AssertionError(f"{response.status_code} {response.text}")
    async for message in EventSource(response).aiter_sse():
        yield json.loads(message.data)


def _free_net() -> str:
    """Find three numbers of loopback addresses that no other test uses now."""
    numbers = list(range(1, 255))
    random.Random(os.getpid()).shuffle(numbers)
    for number in numbers:
        with socket.socket() as probe:
            try:
                probe.bind((f"{NET}.{number}.10", 9000))
            except OSError:
                continue
        return f"{NET}.{number}"
    raise RuntimeError(f"no free network under {NET}")
