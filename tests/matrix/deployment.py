"""The deployment of a cell: three instances with entry and steward, engines and plain runners.

What upstreams, the store and the programs do is recorded in the cell's history.
"""

import hashlib
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

from egretstack.configuration import ApplyConflict, ApplyUnknown, Change, ConfigurationStore
from egretstack.ids import ChangeId
from egretstack.objectapi import MemberState, ObjectKind, PlatformAway
from egretstack.replay import EngineParameters
from egretstack.services.configuration import Configuration
from egretstack.settings import Program
from egretstack.upstreams import Order
from standins.gate import Gate, GatedObjectApi
from standins.live_engine import Generation
from standins.object_store import InProcessObjectApi
from standins.plain_service import PlainServiceState
from standins.world import Process, World, open_world
from tests.matrix.callers import KEY, CallCaller, SessionCaller
from tests.matrix.history import (
    CallRan,
    ChangeAnswer,
    ChangeAnswered,
    HeadWritten,
    History,
    InForce,
    Killed,
    LeavingBegan,
    OrderAccepted,
    Paused,
    RequestAssigned,
    Resumed,
    StopBegan,
    Stopped,
    UpstreamDied,
)

ANSWER_TTL_S = 5
STEP_S = 0.1
CALL_S = 0.3
SAMPLE_INTERVAL_S = 0.1
LIST_LAG_S = 2.0
ENTRIES = ("entry-0", "entry-1", "entry-2")
ENGINES = ("engine-0", "engine-1", "engine-2")
PLAIN_RUNNERS = ("holds-0", "holds-1")
CONTRACT = {
    "contract": {"account": "acme", "key_sha256": hashlib.sha256(KEY.encode()).hexdigest()},
    "limits": {"requests_per_s": "100", "burst": "1000", "concurrency": "1000"},
}
CONTRACT_PART = "contract.acme"
ENGINE_PART = "service.llm"
CHANGED_MODELS = ("story", "poem")
ENGINE_SERVICE = {"service": {"name": "llm", "kind": "engine"}, "engine": {"models": "story"}}
PLAIN_SERVICE = {"service": {"name": "holds", "kind": "plain"}}
SETTINGS = {"caller": {"answer_life_s": str(ANSWER_TTL_S), "heartbeat_s": "3"}}


class _RecordedRunCounts(Counter):
    """Counts the runs of each key and records each run in the history."""

    def __init__(self, history: History) -> None:
        super().__init__()
        self._history = history

    def __setitem__(self, key: str, count: int) -> None:
        self._history.add(CallRan, key)
        super().__setitem__(key, count)


def _digests(spec: dict) -> dict[str, str]:
    """Return each part's version at a head, which itself holds the few parts of a cell."""
    return {part: digest for part, digest in spec["since"].items() if digest is not None}


def _request_name(prompt: str) -> str:
    return prompt.partition("r:")[2].partition(" ")[0]


@dataclass
class Deployment:
    """The simulated deployment of a cell, its processes by name, and the history."""

    world: World
    history: History
    process_by_name: dict[str, Process] = field(default_factory=dict)
    plain_state: PlainServiceState = field(default_factory=PlainServiceState)
    changes: int = 0

    def session(self, name: str, entries: tuple[str, ...] = ENTRIES, **more) -> SessionCaller:
        """Return a caller of a session."""
        return SessionCaller(self.world, self.history, name, list(entries), **more)

    def call(self, name: str, entries: tuple[str, ...] = ENTRIES, **more) -> CallCaller:
        """Return a caller of a non-idempotent call."""
        return CallCaller(self.world, self.history, name, list(entries), **more)

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.history.add(Killed, name)
        self.process_by_name[name].kill()

    def pause(self, name: str) -> None:
        """Pause a process."""
        self.history.add(Paused, name)
        self.process_by_name[name].pause()

    def resume(self, name: str) -> None:
        """Resume a paused process."""
        self.history.add(Resumed, name)
        self.process_by_name[name].resume()

    def kill_upstream(self, upstream: str) -> None:
        """Kill an upstream."""
        self.history.add(UpstreamDied, upstream)
        engine = self.world.engine_by_id.get(upstream)
        if engine is None:
            self.world.plain_faults_by_id[upstream].dead = True
            return
        engine.faults.dead = True
        engine.faults.wake()

    def announce_leaving(self, upstream: str) -> None:
        """Mark an upstream as leaving in the instance list."""
        self.history.add(LeavingBegan, upstream)
        self.world.set_state(upstream, MemberState.LEAVING)

    async def stop(self, entry: str) -> None:
        """Stop an entry as planned, and wait until its process has ended."""
        process = self.process_by_name[entry]
        self.history.add(StopBegan, entry, float(ANSWER_TTL_S))
        process.kernel.begin_drain()
        with trio.move_on_after(LIST_LAG_S):
            await process.stopped.wait()
        self.world.set_state(entry, MemberState.LEAVING)
        await process.stopped.wait()
        self.history.add(Stopped, entry)
        self.world.listed.by_id.pop(entry, None)

    async def change(self, operator: str = "operator", base: str | None = None) -> None:
        """Change the contract as an operator who starts from version `base` or the current one."""
        limits = CONTRACT["limits"] | {"burst": str(1001 + self.changes)}
        await self.apply(CONTRACT_PART, CONTRACT | {"limits": limits}, operator, base)

    async def add_model(self) -> None:
        """Add a model to those that the engines have to serve."""
        sections = ENGINE_SERVICE | {"engine": {"models": ",".join(CHANGED_MODELS)}}
        await self.apply(ENGINE_PART, sections)

    async def apply(
        self,
        part: str,
        sections: dict[str, dict[str, str]],
        operator: str = "operator",
        base: str | None = None,
    ) -> None:
        """Change a part and record the answer that the operator gets."""
        self.changes += 1
        change_id = ChangeId(f"{operator}-{self.changes}")
        api = GatedObjectApi(
            InProcessObjectApi(self.world.store), Gate(operator, self.world.observers)
        )
        store = ConfigurationStore(api)
        answer, revision = ChangeAnswer.UNAVAILABLE, 0
        try:
            if base is None:
                base = (await store.head()).digest_by_part[part]
            change = Change(change_id, {part: sections}, {part: base})
            revision = (await store.apply(change)).revision
            answer = ChangeAnswer.ACCEPTED
        except ApplyConflict:
            answer = ChangeAnswer.CONFLICT
        except ApplyUnknown:
            answer = ChangeAnswer.UNKNOWN
        except PlatformAway:
            answer = ChangeAnswer.UNAVAILABLE
        self.history.add(ChangeAnswered, str(change_id), part, answer, revision, base or "")

    def contract_digest(self) -> str:
        """Return the current version of the contract in the store."""
        head = self.world.store.by_place[ObjectKind.CONFIG_HEAD, "head"]
        return _digests(head.spec)[CONTRACT_PART]

    def entry_names(self) -> tuple[str, ...]:
        """Return the entries whose processes run."""
        return tuple(name for name in ENTRIES if not self.process_by_name[name].stopped.is_set())

    def unconverged_engines(self) -> list[str]:
        """Return the live engines whose models differ from the configuration in the store."""
        heads = self.world.store.by_place[ObjectKind.CONFIG_HEAD, "head"].spec
        digest = _digests(heads)[ENGINE_PART]
        place = (ObjectKind.CONFIG_PART, f"{ENGINE_PART}.{digest}")
        expected = set(
            self.world.store.by_place[place].spec["sections"]["engine"]["models"].split(",")
        )
        return [
            name
            for name, engine in self.world.engine_by_id.items()
            if name in self.world.listed.by_id
            and not engine.faults.dead
            and self.world.listed.by_id[name].state is MemberState.LIVE
            and set(engine.live.models) != expected
        ]

    def last_upstream_of(self, request: str) -> str | None:
        """Return the upstream to which a request was sent last."""
        given = [one for one in self.history.of(RequestAssigned) if one.request == request]
        return given[-1].upstream if given else None

    async def watch(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Keep recording new heads, and the revisions that processes have in force."""
        task_status.started()
        seen_version = 0
        revision_by_process: dict[str, int] = {}
        while True:
            seen_version = self._record_heads(seen_version)
            for name, process in self.process_by_name.items():
                if process.stopped.is_set() or process.access.gate.paused:
                    continue
                self._record_revision(name, process, revision_by_process)
            await trio.sleep(SAMPLE_INTERVAL_S)

    def _record_heads(self, seen_version: int) -> int:
        for version, change in self.world.store.changes_since(ObjectKind.CONFIG_HEAD, seen_version):
            spec = change.object.spec
            self.history.add(HeadWritten, spec["revision"], spec["change_id"], _digests(spec))
            seen_version = version
        return seen_version

    def _record_revision(
        self, name: str, process: Process, known_revisions: dict[str, int]
    ) -> None:
        snapshot = process.kernel.get(Configuration).state.snapshot
        if snapshot is not None and known_revisions.get(name) != snapshot.head.revision:
            known_revisions[name] = snapshot.head.revision
            digests = dict(snapshot.head.digest_by_part)
            self.history.add(InForce, name, snapshot.head.revision, digests)


def _record_upstreams(deployment: Deployment) -> None:
    for name in ENGINES:
        engine = deployment.world.add_engine(
            name, "llm", ("story",), EngineParameters(step_base_s=STEP_S, prefill_tokens_per_s=20)
        )

        def record(generation: Generation, name: str = name) -> None:
            deployment.history.add(
                RequestAssigned, name, _request_name(generation.prompt), generation.id
            )

        engine.live.on_start = record
        engine.live.order = _record_orders(deployment, name, engine.live.order)
        engine.faults.faulty_resume = True
        engine.live.text = lambda one: f"{one.id}:{len(one.events)} "
    deployment.plain_state = PlainServiceState(
        delay_s=CALL_S, runs_by_key=_RecordedRunCounts(deployment.history)
    )
    for name in PLAIN_RUNNERS:
        runner = deployment.world.add_plain(name, "holds", deployment.plain_state)
        runner.call = _record_calls(deployment, name, runner.call)


def _record_orders(deployment: Deployment, name: str, accept):
    def recorded(order: Order) -> None:
        accept(order)
        deployment.history.add(OrderAccepted, name, order.id, order.fencing, True)

    return recorded


def _record_calls(deployment: Deployment, name: str, call):
    async def recorded(request, check=None):
        if request.method == "POST":
            deployment.history.add(RequestAssigned, name, request.path.removeprefix("/hold/"))
        return await call(request, check)

    return recorded


@asynccontextmanager
async def open_deployment(history: History) -> AsyncIterator[Deployment]:
    """Run a configured deployment within the block."""
    async with open_world() as world:
        deployment = Deployment(world, history)
        world.settings = {Program.ENTRY: SETTINGS, Program.STEWARD: {}}
        await world.configure(
            contract__acme=CONTRACT, service__llm=ENGINE_SERVICE, service__holds=PLAIN_SERVICE
        )
        _record_upstreams(deployment)
        for name in ENTRIES:
            deployment.process_by_name[f"{name}.steward"] = await world.start(name, Program.STEWARD)
            deployment.process_by_name[name] = await world.start(name, Program.ENTRY)
        await world.nursery.start(deployment.watch)
        await trio.sleep(2)
        yield deployment
