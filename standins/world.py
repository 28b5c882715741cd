"""A small world inside one process: entries, engines, plain services and the platform.

Runs the same services as the programs do, on trio's mock clock, with stand-ins outside.
"""

from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

from egretstack.callers import AsgiApp
from egretstack.configuration import Change, ConfigurationStore
from egretstack.delivery import TokenBox
from egretstack.ids import ChangeId, ModelName, RunnerId, ServiceName, ZoneName
from egretstack.kernel import Kernel, load_services
from egretstack.platform import ENTRY_SERVICE, InstanceList, Member, MemberState, PlatformAway
from egretstack.programs.entry import SERVICES as ENTRY_SERVICES
from egretstack.programs.steward import SERVICES as STEWARD_SERVICES
from egretstack.replay import EngineParameters
from egretstack.services.platform_access import PlatformAccess
from egretstack.settings import Program, schema_of
from egretstack.upstreams import EngineClient, PlainService
from standins.engine_client import EngineFaults, InProcessEngine
from standins.live_engine import LiveEngine
from standins.network import Network
from standins.object_store import InProcessObjectApi, ObjectStore
from standins.plain_service import Book, ClientOfProcess, InProcessPlainService

PORTS = {
    "caller": 8080,
    "operator": 9100,
    "steward-operator": 9101,
    "peer": 9200,
    "steward": 9201,
}
SESSION_KEY = TokenBox.new_key()


@dataclass
class EngineStandin:
    """One engine with its faults."""

    live: LiveEngine
    faults: EngineFaults


class ListedInstances(InstanceList):
    """The instance list; `hidden_s` makes it lag and `down` makes it fail."""

    def __init__(self) -> None:
        self.by_id: dict[str, Member] = {}
        self.down = False

    async def members(self) -> list[Member]:
        """Read every member."""
        await trio.lowlevel.checkpoint()
        if self.down:
            raise PlatformAway("down")
        return list(self.by_id.values())


@dataclass
class World:
    """All that is outside the programs, shared by the processes of a test."""

    store: ObjectStore = field(default_factory=ObjectStore)
    listed: ListedInstances = field(default_factory=ListedInstances)
    network: Network = field(default_factory=Network)
    engine_by_id: dict[str, EngineStandin] = field(default_factory=dict)
    plain_by_id: dict[str, InProcessPlainService] = field(default_factory=dict)
    nursery: trio.Nursery | None = None

    def add_engine(
        self,
        name: str,
        service: str,
        models: tuple[str, ...],
        parameters: EngineParameters,
        *,
        checks_fencing: bool = True,
    ) -> EngineStandin:
        """Start an engine and list it."""
        names = tuple(ModelName(model) for model in models)
        live = LiveEngine(parameters, names, checks_fencing=checks_fencing)
        self.engine_by_id[name] = EngineStandin(live, EngineFaults())
        self.nursery.start_soon(live.run)
        self._list(name, service, f"10.1.0.{len(self.engine_by_id)}", {"http": 8000}, "a")
        return self.engine_by_id[name]

    def add_plain(self, name: str, service: str, book: Book) -> InProcessPlainService:
        """Add a runner of a plain service and list it."""
        self.plain_by_id[name] = InProcessPlainService(book)
        self._list(name, service, f"10.2.0.{len(self.plain_by_id)}", {"http": 8000}, "a")
        return self.plain_by_id[name]

    def set_state(self, name: str, state: MemberState) -> None:
        """Change what the list says of a member."""
        old = self.listed.by_id[name]
        self.listed.by_id[name] = Member(old.id, old.service, old.zone, old.host, old.ports, state)

    async def configure(self, **sections_by_part: dict[str, dict[str, str]]) -> int:
        """Accept parts, named like `contract__acme`; give the revision."""
        parts = {name.replace("__", "."): value for name, value in sections_by_part.items()}
        store = ConfigurationStore(InProcessObjectApi(self.store))
        change = Change(ChangeId(f"change-{self.store.version}"), parts, {})
        return (await store.apply(change)).revision

    async def start(self, name: str, program: Program, zone: str = "a") -> "Process":
        """Start one process of an instance and wait until it is up."""
        host = self._host(name, zone)
        kernel = Kernel(_settings(name, program, host, zone))
        access = InProcessAccess(kernel, self, host)
        kernel.add(access)
        names = ENTRY_SERVICES if program is Program.ENTRY else STEWARD_SERVICES
        wanted = [one for one in names if one != access.name]
        load_services(kernel, tuple(wanted))
        process = Process(name, host, kernel, access)
        await self.nursery.start(process.run)
        return process

    def _host(self, name: str, zone: str) -> str:
        if name not in self.listed.by_id:
            number = sum(1 for one in self.listed.by_id.values() if one.service == ENTRY_SERVICE)
            self._list(name, ENTRY_SERVICE, f"10.0.0.{number + 1}", PORTS, zone)
        return self.listed.by_id[name].host

    def _list(self, name: str, service: str, host: str, ports: dict[str, int], zone: str) -> None:
        self.listed.by_id[name] = Member(
            name, ServiceName(service), ZoneName(zone), host, ports, MemberState.LIVE
        )


@dataclass
class Process:
    """One running program of the system."""

    name: str
    host: str
    kernel: Kernel
    access: "InProcessAccess"
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    stopped: trio.Event = field(default_factory=trio.Event)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Run until killed or drained."""
        try:
            with self.scope:
                await self.kernel.run(task_status)
        finally:
            self.stopped.set()

    def kill(self) -> None:
        """End the process at once; nothing that it would do while stopping reaches outside."""
        self.access.dead = True
        self.access.object_api.cut = True
        self.scope.cancel()


class InProcessAccess(PlatformAccess):
    """Reaches the stand-ins of a world."""

    def __init__(self, kernel: Kernel, world: World, host: str) -> None:
        super().__init__(kernel)
        self._world = world
        self._host = host
        self.dead = False
        self.app_by_address: dict[str, AsgiApp] = {}
        self.store_client = InProcessObjectApi(world.store)
        self.object_api = self.budgeted(self.store_client)
        self.instance_list = world.listed

    def engine(self, member: Member) -> EngineClient:
        """Make the client of an engine."""
        standin = self._world.engine_by_id[RunnerId(member.id)]
        silence_s = self.kernel.settings.number("engines", "silence_s")
        return InProcessEngine(standin.live, standin.faults, silence_s, lambda: self.dead)

    def plain(self, member: Member) -> PlainService:
        """Make the client of a plain service's runner."""
        return ClientOfProcess(self._world.plain_by_id[member.id], lambda: self.dead)

    async def open_stream(self, host: str, port: int) -> trio.abc.Stream:
        """Connect to a peer."""
        return await self._world.network.connect(self._host, host, port)

    async def serve_streams(
        self,
        handler: Callable[[trio.abc.Stream], Awaitable[None]],
        host: str,
        port: int,
        task_status: trio.TaskStatus[object],
    ) -> None:
        """Serve peers."""
        await self._world.network.serve(handler, host, port, task_status)

    async def serve_http(
        self,
        app: AsgiApp,
        address: str,
        stop: trio.Event,
        send_timeout_s: float = 0.0,
        *,
        task_status: trio.TaskStatus[object],
    ) -> None:
        """Keep the application for a test to call; no socket is opened."""
        self.app_by_address[address] = app
        task_status.started()
        await stop.wait()

    def _keys(self) -> list[bytes]:
        return [SESSION_KEY]


def _settings(name: str, program: Program, host: str, zone: str):
    steward = program is Program.STEWARD
    sections = {
        "instance": {
            "id": name,
            "zone": zone,
            "operator_address": f"{host}:{PORTS['steward-operator' if steward else 'operator']}",
            "peer_address": f"{host}:{PORTS['steward' if steward else 'peer']}",
        },
        "sessions": {"key_file": "unused"},
        "platform": {"object_api": "http://unused"},
    }
    if not steward:
        sections["caller"] = {"address": f"{host}:{PORTS['caller']}"}
    return schema_of(program).check(name, sections)


@asynccontextmanager
async def open_world():
    """Give a world whose tasks end with the block."""
    async with trio.open_nursery() as nursery:
        world = World(nursery=nursery)
        yield world
        nursery.cancel_scope.cancel()
