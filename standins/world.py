"""A simulated deployment in one process: instances, engines, plain services and the platform.

Runs the same services as the real programs, on trio's mock clock, against stand-ins of everything
external.
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
from standins.plain_service import InProcessPlainService, PlainServiceState

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
    """The instance list; reading it fails while `down` is set."""

    def __init__(self) -> None:
        self.by_id: dict[str, Member] = {}
        self.down = False

    async def members(self) -> list[Member]:
        """Return every member. Raises PlatformAway."""
        await trio.lowlevel.checkpoint()
        if self.down:
            raise PlatformAway("down")
        return list(self.by_id.values())


@dataclass
class World:
    """The simulated deployment: all external systems, shared by the processes of a test."""

    store: ObjectStore = field(default_factory=ObjectStore)
    listed: ListedInstances = field(default_factory=ListedInstances)
    network: Network = field(default_factory=Network)
    engine_by_id: dict[str, EngineStandin] = field(default_factory=dict)
    plain_by_id: dict[str, InProcessPlainService] = field(default_factory=dict)
    plain_faults_by_id: dict[str, PlainFaults] = field(default_factory=dict)
    http: HttpNetwork = field(default_factory=HttpNetwork)
    observers: list[Observer] = field(default_factory=list)
    """Called at every seam that a process reaches in its external calls."""
    settings: dict[Program, dict[str, dict[str, str]]] = field(default_factory=dict)
    """Settings of a program's processes that override the defaults, by section and key."""
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
        """Start an engine and add it to the instance list."""
        names = tuple(ModelName(model) for model in models)
        live = LiveEngine(parameters, names, checks_fencing=checks_fencing)
        self.engine_by_id[name] = EngineStandin(live, EngineFaults())
        self.nursery.start_soon(live.run)
        self._add_to_list(name, service, f"10.1.0.{len(self.engine_by_id)}", {"http": 8000}, "a")
        return self.engine_by_id[name]

    def add_plain(self, name: str, service: str, state: PlainServiceState) -> InProcessPlainService:
        """Add a runner of a plain service, also to the instance list."""
        self.plain_by_id[name] = InProcessPlainService(state)
        self.plain_faults_by_id[name] = PlainFaults()
        self._add_to_list(name, service, f"10.2.0.{len(self.plain_by_id)}", {"http": 8000}, "a")
        return self.plain_by_id[name]

    def set_state(self, name: str, state: MemberState) -> None:
        """Change the state of a listed member."""
        old = self.listed.by_id[name]
        self.listed.by_id[name] = Member(old.id, old.service, old.zone, old.host, old.ports, state)

    def listed_host(self, name: str) -> str:
        """Return the IP address of a member that is or was listed."""
        return self._host_by_name[name]

    async def configure(self, **sections_by_part: dict[str, dict[str, str]]) -> int:
        """Apply configuration parts, named like `contract__acme`; return the new revision."""
        parts = {name.replace("__", "."): value for name, value in sections_by_part.items()}
        store = ConfigurationStore(InProcessObjectApi(self.store))
        change = Change(ChangeId(f"change-{self.store.version}"), parts, {})
        return (await store.apply(change)).revision

    async def start(self, name: str, program: Program, zone: str = "a") -> "Process":
        """Start one process of an instance and wait until it has started."""
        host = self._ensure_listed(name, zone)
        kernel = Kernel(_settings(name, program, host, zone, self.settings.get(program, {})))
        label = name if program is Program.ENTRY else f"{name}.steward"
        access = InProcessAccess(kernel, self, host, Gate(label, self.observers))
        kernel.add(access)
        names = ENTRY_SERVICES if program is Program.ENTRY else STEWARD_SERVICES
        services = [service for service in names if service != access.name]
        load_services(kernel, tuple(services))
        process = Process(name, host, kernel, access)
        await self.nursery.start(process.run)
        return process

    def _ensure_listed(self, name: str, zone: str) -> str:
        if name not in self.listed.by_id:
            number = sum(
                1 for other in self.listed.by_id.values() if other.service == ENTRY_SERVICE
            )
            self._add_to_list(name, ENTRY_SERVICE, f"10.0.0.{number + 1}", PORTS, zone)
        return self.listed.by_id[name].host

    def _add_to_list(
        self, name: str, service: str, host: str, ports: dict[str, int], zone: str
    ) -> None:
        self._host_by_name[name] = host
        self.listed.by_id[name] = Member(
            name, ServiceName(service), ZoneName(zone), host, ports, MemberState.LIVE
        )


@dataclass
class Process:
    """One process of an instance that runs a program."""

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
        """Kill the process: none of its external calls while stopping takes effect."""
        self.access.gate.dead = True
        self.access.gate.resume()
        self.access.store_client.cut = True
        self.scope.cancel()

    def pause(self) -> None:
        """Pause the process until `resume`, as SIGSTOP does."""
        self.access.gate.pause()

    def resume(self) -> None:
        """Resume the process, as SIGCONT does."""
        self.access.gate.resume()


def _settings(
    name: str, program: Program, host: str, zone: str, overrides: dict[str, dict[str, str]]
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
    for section, values in overrides.items():
        sections[section] = sections.get(section, {}) | values
    return schema_for(program).check(name, sections)


@asynccontextmanager
async def open_world():
    """Open a simulated deployment whose tasks end with the block."""
    async with trio.open_nursery() as nursery:
        world = World(nursery=nursery)
        yield world
        nursery.cancel_scope.cancel()
