"""The site of a cell: three instances with entry and steward, engines and plain runners.

Everything that upstreams, the store and the programs do is recorded in the cell's history.
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
    ChangeTold,
    Frozen,
    HeadWritten,
    History,
    InForce,
    Killed,
    LeavingBegan,
    OrderTaken,
    StopBegan,
    Stopped,
    Thawed,
    UpstreamDied,
    WorkGiven,
)

ANSWER_LIFE_S = 5
STEP_S = 0.1
CALL_S = 0.3
SAMPLE_S = 0.1
LIST_LAG_S = 2.0
ENTRIES = ("entry-0", "entry-1", "entry-2")
ENGINES = ("engine-0", "engine-1", "engine-2")
PLAIN = ("holds-0", "holds-1")
CONTRACT = {
    "contract": {"account": "acme", "key_sha256": hashlib.sha256(KEY.encode()).hexdigest()},
    "limits": {"requests_per_s": "100", "burst": "1000", "concurrency": "1000"},
}
CONTRACT_PART = "contract.acme"
ENGINE_PART = "service.llm"
MORE_MODELS = ("story", "poem")
ENGINE_SERVICE = {"service": {"name": "llm", "kind": "engine"}, "engine": {"models": "story"}}
PLAIN_SERVICE = {"service": {"name": "holds", "kind": "plain"}}
SETTINGS = {"caller": {"answer_life_s": str(ANSWER_LIFE_S), "heartbeat_s": "3"}}


class _RecordedRuns(Counter):
    """Counts the runs of each key and records them."""

    def __init__(self, history: History) -> None:
        super().__init__()
        self._history = history

    def __setitem__(self, key: str, count: int) -> None:
        self._history.add(CallRan, key)
        super().__setitem__(key, count)


def _digests(spec: dict) -> dict[str, str]:
    """Give each part's version at a head; the few parts of a cell are all in the head itself."""
    return {part: digest for part, digest in spec["since"].items() if digest is not None}


def _marker(prompt: str) -> str:
    return prompt.partition("r:")[2].partition(" ")[0]


@dataclass
class Site:
    """The world of a cell, its processes by name, and the history."""

    world: World
    history: History
    process_by_name: dict[str, Process] = field(default_factory=dict)
    book: PlainServiceState = field(default_factory=PlainServiceState)
    changes: int = 0

    def session(self, name: str, entries: tuple[str, ...] = ENTRIES, **more) -> SessionCaller:
        """Make a caller of a session."""
        return SessionCaller(self.world, self.history, name, list(entries), **more)

    def call(self, name: str, entries: tuple[str, ...] = ENTRIES, **more) -> CallCaller:
        """Make a caller of a non-idempotent call."""
        return CallCaller(self.world, self.history, name, list(entries), **more)

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.history.add(Killed, name)
        self.process_by_name[name].kill()

    def freeze(self, name: str) -> None:
        """Freeze a process."""
        self.history.add(Frozen, name)
        self.process_by_name[name].pause()

    def thaw(self, name: str) -> None:
        """Thaw a process."""
        self.history.add(Thawed, name)
        self.process_by_name[name].resume()

    def die(self, upstream: str) -> None:
        """Let an upstream die."""
        self.history.add(UpstreamDied, upstream)
        engine = self.world.engine_by_id.get(upstream)
        if engine is None:
            self.world.plain_faults_by_id[upstream].dead = True
            return
        engine.faults.dead = True
        engine.faults.wake()

    def leave(self, upstream: str) -> None:
        """Let the list say that an upstream is leaving."""
        self.history.add(LeavingBegan, upstream)
        self.world.set_state(upstream, MemberState.LEAVING)

    async def stop(self, entry: str) -> None:
        """Stop an entry as planned, and wait until its process has ended."""
        process = self.process_by_name[entry]
        self.history.add(StopBegan, entry, float(ANSWER_LIFE_S))
        process.kernel.begin_drain()
        with trio.move_on_after(LIST_LAG_S):
            await process.stopped.wait()
        self.world.set_state(entry, MemberState.LEAVING)
        await process.stopped.wait()
        self.history.add(Stopped, entry)
        self.world.listed.by_id.pop(entry, None)

    async def change(self, operator: str = "operator", base: str | None = None) -> None:
        """Change the contract as an operator who starts from version `base` or the present."""
        limits = CONTRACT["limits"] | {"burst": str(1001 + self.changes)}
        await self.apply(CONTRACT_PART, CONTRACT | {"limits": limits}, operator, base)

    async def add_model(self) -> None:
        """Change what the engines have to serve."""
        sections = ENGINE_SERVICE | {"engine": {"models": ",".join(MORE_MODELS)}}
        await self.apply(ENGINE_PART, sections)

    async def apply(
        self,
        part: str,
        sections: dict[str, dict[str, str]],
        operator: str = "operator",
        base: str | None = None,
    ) -> None:
        """Change a part and record what the operator is told."""
        self.changes += 1
        change_id = ChangeId(f"{operator}-{self.changes}")
        api = GatedObjectApi(
            InProcessObjectApi(self.world.store), Gate(operator, self.world.observers)
        )
        store = ConfigurationStore(api)
        answer, revision = ChangeAnswer.AWAY, 0
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
            answer = ChangeAnswer.AWAY
        self.history.add(ChangeTold, str(change_id), part, answer, revision, base or "")

    def contract_digest(self) -> str:
        """Give the version of the contract in the store now."""
        head = self.world.store.by_place[ObjectKind.CONFIG_HEAD, "head"]
        return _digests(head.spec)[CONTRACT_PART]

    def entry_names(self) -> tuple[str, ...]:
        """Give the entries whose processes run."""
        return tuple(name for name in ENTRIES if not self.process_by_name[name].stopped.is_set())

    def unconverged(self) -> list[str]:
        """Give the live engines that do not serve what the configuration in the store says."""
        heads = self.world.store.by_place[ObjectKind.CONFIG_HEAD, "head"].spec
        digest = _digests(heads)[ENGINE_PART]
        place = (ObjectKind.CONFIG_PART, f"{ENGINE_PART}.{digest}")
        wanted = set(
            self.world.store.by_place[place].spec["sections"]["engine"]["models"].split(",")
        )
        return [
            name
            for name, engine in self.world.engine_by_id.items()
            if name in self.world.listed.by_id
            and not engine.faults.dead
            and self.world.listed.by_id[name].state is MemberState.LIVE
            and set(engine.live.models) != wanted
        ]

    def upstream_of(self, request: str) -> str | None:
        """Give the upstream that was given a request last."""
        given = [one for one in self.history.of(WorkGiven) if one.request == request]
        return given[-1].upstream if given else None

    async def watch(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Record heads and what is in force, for ever."""
        task_status.started()
        seen = 0
        revision_by_process: dict[str, int] = {}
        while True:
            seen = self._note_heads(seen)
            for name, process in self.process_by_name.items():
                if process.stopped.is_set() or process.access.gate.paused:
                    continue
                self._note_revision(name, process, revision_by_process)
            await trio.sleep(SAMPLE_S)

    def _note_heads(self, seen: int) -> int:
        for version, change in self.world.store.changes_since(ObjectKind.CONFIG_HEAD, seen):
            spec = change.object.spec
            self.history.add(HeadWritten, spec["revision"], spec["change_id"], _digests(spec))
            seen = version
        return seen

    def _note_revision(self, name: str, process: Process, known: dict[str, int]) -> None:
        snapshot = process.kernel.get(Configuration).state.snapshot
        if snapshot is not None and known.get(name) != snapshot.head.revision:
            known[name] = snapshot.head.revision
            digests = dict(snapshot.head.digest_by_part)
            self.history.add(InForce, name, snapshot.head.revision, digests)


def _record_upstreams(site: Site) -> None:
    for name in ENGINES:
        engine = site.world.add_engine(
            name, "llm", ("story",), EngineParameters(step_base_s=STEP_S, prefill_tokens_per_s=20)
        )

        def note(generation: Generation, name: str = name) -> None:
            site.history.add(WorkGiven, name, _marker(generation.prompt), generation.id)

        engine.live.on_start = note
        engine.live.order = _noting_order(site, name, engine.live.order)
        engine.faults.faulty_resume = True
        engine.live.text = lambda one: f"{one.id}:{len(one.events)} "
    site.book = PlainServiceState(delay_s=CALL_S, runs_by_key=_RecordedRuns(site.history))
    for name in PLAIN:
        runner = site.world.add_plain(name, "holds", site.book)
        runner.call = _noting(site, name, runner.call)


def _noting_order(site: Site, name: str, take):
    def noted(order: Order) -> None:
        take(order)
        site.history.add(OrderTaken, name, order.id, order.fencing, True)

    return noted


def _noting(site: Site, name: str, call):
    async def noted(request, check=None):
        if request.method == "POST":
            site.history.add(WorkGiven, name, request.path.removeprefix("/hold/"))
        return await call(request, check)

    return noted


@asynccontextmanager
async def open_site(history: History) -> AsyncIterator[Site]:
    """Give a site that is up and configured."""
    async with open_world() as world:
        site = Site(world, history)
        world.settings = {Program.ENTRY: SETTINGS, Program.STEWARD: {}}
        await world.configure(
            contract__acme=CONTRACT, service__llm=ENGINE_SERVICE, service__holds=PLAIN_SERVICE
        )
        _record_upstreams(site)
        for name in ENTRIES:
            site.process_by_name[f"{name}.steward"] = await world.start(name, Program.STEWARD)
            site.process_by_name[name] = await world.start(name, Program.ENTRY)
        await world.nursery.start(site.watch)
        await trio.sleep(2)
        yield site
