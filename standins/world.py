"""A small world inside one process: entries, engines, plain services and the platform.

Runs the same services as the programs do, on trio's mock clock, with stand-ins outside.
"""

from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

from egretstack.configuration import Change, ConfigurationStore
from egretstack.ids import ChangeId, ModelName, ServiceName, ZoneName
from egretstack.kernel import Kernel, load_services
from egretstack.objectapi import ENTRY_SERVICE, InstanceList, Member, MemberState, PlatformAway
from egretstack.programs.entry import SERVICES as ENTRY_SERVICES
from egretstack.programs.steward import SERVICES as STEWARD_SERVICES
from egretstack.replay import EngineParameters
from egretstack.settings import Program, Settings, schema_for
from standins.access import InProcessAccess, PlainFaults
from standins.engine_client import EngineFaults
from standins.gate import Gate, Observer, ProcessKilled
from standins.http_link import HttpNetwork
from standins.live_engine import LiveEngine
from standins.network import Network
from standins.object_store import InProcessObjectApi, ObjectStore
from standins.plain_service import Book, InProcessPlainService

PORTS = {
    "caller": 8080,
    "operator": 9100,
    "steward-operator": 9101,
    "peer": 9200,
    "steward": 9201,
}


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
    plain_faults_by_id: dict[str, PlainFaults] = field(default_factory=dict)
    http: HttpNetwork = field(default_factory=HttpNetwork)
    observers: list[Observer] = field(default_factory=list)
    """Told of every place that a process reaches at its edge."""
    settings: dict[Program, dict[str, dict[str, str]]] = field(default_factory=dict)
    """Settings of a program's processes that differ from the defaults, by section and key."""
    nursery: trio.Nursery | None = None
    _host_by_name: dict[str, str] = field(default_factory=dict)

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
        self.plain_faults_by_id[name] = PlainFaults()
        self._list(name, service, f"10.2.0.{len(self.plain_by_id)}", {"http": 8000}, "a")
        return self.plain_by_id[name]

    def set_state(self, name: str, state: MemberState) -> None:
        """Change what the list says of a member."""
        old = self.listed.by_id[name]
        self.listed.by_id[name] = Member(old.id, old.service, old.zone, old.host, old.ports, state)

    def listed_host(self, name: str) -> str:
        """Give the IP number of a member that is or was listed."""
        return self._host_by_name[name]

    async def configure(self, **sections_by_part: dict[str, dict[str, str]]) -> int:
        """Accept parts, named like `contract__acme`; give the revision."""
        parts = {name.replace("__", "."): value for name, value in sections_by_part.items()}
        store = ConfigurationStore(InProcessObjectApi(self.store))
        change = Change(ChangeId(f"change-{self.store.version}"), parts, {})
        return (await store.apply(change)).revision

    async def start(self, name: str, program: Program, zone: str = "a") -> "Process":
        """Start one process of an instance and wait until it is up."""
        host = self._host(name, zone)
        kernel = Kernel(_settings(name, program, host, zone, self.settings.get(program, {})))
        label = name if program is Program.ENTRY else f"{name}.steward"
        access = InProcessAccess(kernel, self, host, Gate(label, self.observers))
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
        self._host_by_name[name] = host
        self.listed.by_id[name] = Member(
            name, ServiceName(service), ZoneName(zone), host, ports, MemberState.LIVE
        )


@dataclass
class Process:
    """One running program of the system."""

    name: str
    host: str
    kernel: Kernel
    access: InProcessAccess
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    stopped: trio.Event = field(default_factory=trio.Event)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Run until killed or drained."""
        try:
            with self.scope:
                await self.kernel.run(task_status)
        except* ProcessKilled:
            pass
        finally:
            self.stopped.set()

    def kill(self) -> None:
        """End the process at once; nothing that it would do while stopping reaches outside."""
        self.access.gate.dead = True
        self.access.gate.thaw()
        self.access.store_client.cut = True
        self.scope.cancel()

    def freeze(self) -> None:
        """Stop the process until `thaw`, as SIGSTOP does."""
        self.access.gate.freeze()

    def thaw(self) -> None:
        """Let the process go on."""
        self.access.gate.thaw()


def _settings(
    name: str, program: Program, host: str, zone: str, given: dict[str, dict[str, str]]
) -> Settings:
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
    for section, values in given.items():
        sections[section] = sections.get(section, {}) | values
    return schema_for(program).check(name, sections)


@asynccontextmanager
async def open_world():
    """Give a world whose tasks end with the block."""
    async with trio.open_nursery() as nursery:
        world = World(nursery=nursery)
        yield world
        nursery.cancel_scope.cancel()
