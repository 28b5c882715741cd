"""Complete entries with stand-ins for the platform, in one process, over loopback sockets."""

import json
import socket
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from itertools import cycle

import trio

from egretstack.http1 import RequestHead, ResponseHead, connect_upstream, exchange
from egretstack.ids import InstanceId, RegionName, ZoneName
from egretstack.kernel import Kernel, load_services
from egretstack.platform import Bounds, NodeSettings
from egretstack.programs._platform_entry import SERVICES
from egretstack.services.directory_port import DirectoryPort
from standins.platform import (
    HOST,
    KEY,
    EngineStandIn,
    PlainStandIn,
    RunnerLinks,
    StoreStandIn,
    client_request,
    configuration,
    route,
    runner_spec,
)

WAIT_S = 20.0
"""Timeout for events that have to happen; no test depends on how long they take."""
STREAM_TIMEOUT_MS = 20_000
"""Timeout of the streaming route. The longest streams take 4 s here, and beside a load of twice the
cores over 5 s; only tests of timeouts may depend on one."""
MAX_ANSWER_BYTES = 1_000_000
BOUNDS = Bounds(
    runner_drain_s=2,
    grace_s=3,
    directory_ttl_s=5,
    retry_ratio=0.2,
    retry_window_s=10,
    retry_slack=50,
    evacuate_s=3,
    cold_overage=1.5,
    cold_slack=5,
)
RUNNER_NETS = ("2", "3")
"""Third octet of the addresses of plain runners and of engines."""
REGION_BY_ZONE = {
    ZoneName("leon-a"): RegionName("bajio"),
    ZoneName("leon-b"): RegionName("bajio"),
    ZoneName("colima"): RegionName("pacifico"),
}


@dataclass
class Deployment:
    """A simulated deployment: the stand-ins and the entries."""

    nursery: trio.Nursery
    store: StoreStandIn
    links: RunnerLinks
    """The entries' links to the runners."""
    plain: list[PlainStandIn] = field(default_factory=list)
    engines: list[EngineStandIn] = field(default_factory=list)
    kernels: list[Kernel] = field(default_factory=list)
    routes: list[dict] = field(default_factory=list)
    cold_per_s: float = 0.0
    """The rate that the configuration allows a cold runner; 0 for the rate of a warm one."""
    allowed_regions: tuple[str, ...] = ()
    """Regions to which the client account is restricted."""
    version: int = 0
    scope_by_instance: dict[str, trio.CancelScope] = field(default_factory=dict)
    """Cancelling one ends an entry at once, like a kill."""

    def settings(self, number: int) -> NodeSettings:
        """Return the settings of an entry."""
        return self.kernels[number].settings

    def register(
        self, runner_id: str, service: str, address: str, state: str = "ready", **more
    ) -> None:
        """Write a runner's entry, as the runner does."""
        self.store.put("servers", runner_id, runner_spec(service, address, state, **more))

    def assign_zones(self, *zones: str) -> None:
        """Write the runners' entries again; each service's runners get the zones in turn."""
        for service, runners in (("desk", self.plain), ("llm", self.engines)):
            for runner, zone in zip(runners, cycle(zones), strict=False):
                self.register(runner.runner_id, service, runner.address, zone=zone)

    def evacuate(self, *zones: str) -> None:
        """Evacuate zones, as the operator does."""
        for zone in zones:
            self.store.put("evacuations", zone, {})

    def configure(self, *, keys: tuple[str, ...] = (KEY,)) -> int:
        """Write the next version of the configuration."""
        self.version += 1
        account = {"allowed-regions": list(self.allowed_regions)} if self.allowed_regions else {}
        spec = configuration(self.version, self.routes, keys, cold_per_s=self.cold_per_s, **account)
        self.store.put("config", "main", spec)
        return self.version

    async def until(self, condition) -> None:
        """Wait until a condition holds."""
        with trio.fail_after(WAIT_S):
            while not condition():
                await trio.sleep(0.01)

    async def start_entry(self, number: int, *, store: str | None = None, **more) -> Kernel:
        """Start an entry, with changed settings if any, and wait until its services are up."""
        settings = node_settings(number, store or self.store.address, self.kernels)
        kernel = Kernel(replace(settings, **more))
        load_services(kernel, tuple(one for one in SERVICES if one != "settings_file"))
        self.kernels.append(kernel)
        scope = self.scope_by_instance[kernel.settings.instance] = trio.CancelScope()

        async def run(task_status: trio.TaskStatus[None]) -> None:
            self.links.enter(kernel.settings.instance)
            with scope:
                await kernel.run(task_status)

        await self.nursery.start(run)
        return kernel

    async def until_ready(self) -> None:
        """Wait until every entry serves."""
        await self.until(lambda: all(one.get(DirectoryPort).is_ready() for one in self.kernels))

    async def resolve(self, directory: str) -> list[str]:
        """Return the entries' addresses from a directory."""
        connection = await connect_upstream(directory, WAIT_S)
        target = f"/egretstack/resolve?name={HOST}&region=bajio&zone=leon-a".encode()
        try:
            head = RequestHead(b"GET", target, ((b"host", b"directory"),))
            _, body = await exchange(connection, head, b"", MAX_ANSWER_BYTES)
            return json.loads(body)["addresses"]
        finally:
            connection.close()

    async def call(
        self, path: str, attempt: str, *, entry: int = 0, method: bytes = b"GET", **more
    ) -> tuple[ResponseHead, bytes]:
        """Make one request as a client, and return the complete answer."""
        address = self.settings(entry).front_address
        connection = await connect_upstream(address, WAIT_S)
        try:
            head, body = client_request(path, attempt, method=method, **more)
            with trio.fail_after(WAIT_S):
                return await exchange(connection, head, body, MAX_ANSWER_BYTES)
        finally:
            connection.close()


def is_runner_host(host: str) -> bool:
    """Return whether a loopback address is one of a runner stand-in."""
    return host.split(".")[2] in RUNNER_NETS


def node_settings(number: int, store: str, seeds: list[Kernel]) -> NodeSettings:
    """Return the settings of an entry on its own loopback address."""
    ip = f"127.{free_loopback_net()}.1.{number + 1}"
    return NodeSettings(
        instance=InstanceId(f"entry-{number}"),
        zone=ZoneName("leon-a"),
        region=RegionName("bajio"),
        region_by_zone=REGION_BY_ZONE,
        ip=ip,
        front_address=f"{ip}:8740",
        ready_address=f"{ip}:8749",
        directory_address=f"{ip}:8746",
        control_address=f"{ip}:8748",
        first_peer_port=7200,
        last_peer_port=7215,
        seeds=tuple(f"{one.settings.ip}:8748" for one in seeds[:3]),
        first_start=False,
        metrics_address=f"{ip}:7201",
        store_address=store,
        link_mbps=1000.0,
        bounds=BOUNDS,
    )


_loopback_net: int | None = None


def free_loopback_net() -> int:
    """Return a second octet of loopback addresses that no other test process uses."""
    global _loopback_net
    if _loopback_net is None:
        for net in range(20, 250):
            guard = socket.socket()
            try:
                guard.bind((f"127.{net}.0.1", 8999))
            except OSError:
                guard.close()
                continue
            _guards.append(guard)
            _loopback_net = net
            break
    return _loopback_net


_guards: list[socket.socket] = []


@asynccontextmanager
async def platform_site(*, entries: int = 1, plain: int = 2, engines: int = 0):
    """Start a deployment with the store, runners and ready entries."""
    EngineStandIn.peers_by_address.clear()
    net = free_loopback_net()
    links = RunnerLinks(is_runner_host)
    with links.installed():
        async with trio.open_nursery() as nursery:
            site = Deployment(nursery, StoreStandIn(f"127.{net}.0.10:8742"), links=links)
            await nursery.start(site.store.run)
            for number in range(plain):
                runner = PlainStandIn(f"127.{net}.2.{number + 1}:8080", f"i-desk-{number}")
                site.plain.append(runner)
                await nursery.start(runner.run)
                site.register(runner.runner_id, "desk", runner.address)
            for number in range(engines):
                engine = EngineStandIn(f"127.{net}.3.{number + 1}:8080", f"i-llm-{number}")
                site.engines.append(engine)
                await nursery.start(engine.run)
                site.register(engine.runner_id, "llm", engine.address)
            site.routes = [
                route("notes", "idempotent", "desk"),
                route("holds", "non_idempotent", "desk"),
                route("plans", "streaming", "llm", **{"timeout-ms": STREAM_TIMEOUT_MS}),
                route("open", "idempotent", "desk", **{"allow-anonymous": True}),
            ]
            site.configure()
            for number in range(entries):
                await site.start_entry(number)
            await site.until_ready()
            yield site
            nursery.cancel_scope.cancel()
