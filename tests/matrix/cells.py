"""Runs one cell: normal load, the path with its faults, normal load again, and a planned stop."""

import contextlib
import random
import secrets
from collections.abc import Iterator
from dataclasses import dataclass, field
from unittest import mock

import trio
import trio.testing

from tests.matrix.deployment import ENTRIES, Deployment, open_deployment
from tests.matrix.faults import FAULT_BY_NAME
from tests.matrix.history import EndlessHistory, History
from tests.matrix.paths import FOCUS_ENTRY, FaultInjector, Step
from tests.matrix.points import (
    Violation,
    find_stale_orders,
    find_violations,
    points_without_evidence,
)

SEED = 20261202
CELL_LIMIT_S = 600.0
"""Time limit of a cell on the mock clock; a planned stop that never ends is a failure."""
SETTLE_S = 7.0
SHORT_TOKENS = 8
LEAVING_UPSTREAMS = ("engine-2", "holds-1")


class CellFailed(AssertionError):
    """A cell broke a point, or did not complete."""

    def __init__(self, broken: list[Violation], other: list[str]) -> None:
        lines = [f"{one.point.name}: {one.detail}" for one in broken] + other
        super().__init__("; ".join(lines))
        self.broken = broken
        self.other = other


@dataclass(frozen=True)
class Cell:
    """A step, and the faults that are injected together at it."""

    step: Step
    faults: tuple[str, ...]

    @property
    def name(self) -> str:
        """Return the name of the cell's test."""
        return f"test_{self.step.path.value}_{self.step.name}__{'__'.join(self.faults)}"


@dataclass
class Result:
    """What the checks found in a cell's history."""

    history: History
    broken: list[Violation] = field(default_factory=list)
    other: list[str] = field(default_factory=list)


def run_cell(cell: Cell, seed: int = SEED) -> Result:
    """Run a cell with a seed and check its history."""
    with _seeded(seed):
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(_run_with_limits, cell, clock=clock)


def check_cell(cell: Cell, seed: int = SEED) -> None:
    """Run a cell; raise CellFailed."""
    result = run_cell(cell, seed)
    if result.broken or result.other:
        raise CellFailed(result.broken, result.other)


async def _run_with_limits(cell: Cell) -> Result:
    history = History()
    other: list[str] = []
    try:
        await _run_recorded(cell, history, other)
    except ExceptionGroup as group:
        if group.subgroup(EndlessHistory) is None:
            raise
        other.append("the history does not end")
    other.extend(find_stale_orders(history))
    other.extend(f"no evidence for {point.name}" for point in points_without_evidence(history))
    return Result(history, find_violations(history), other)


async def _run_recorded(cell: Cell, history: History, other: list[str]) -> None:
    async with open_deployment(history) as deployment:
        faults = tuple(FAULT_BY_NAME[name] for name in cell.faults)
        injector = FaultInjector(deployment, cell.step.path, faults)
        with trio.move_on_after(CELL_LIMIT_S) as limit:
            await _run_phases(deployment, cell, injector)
        if limit.cancelled_caught:
            other.append("the cell did not come to its end")
        other.extend(
            f"{name} does not serve what it should" for name in deployment.unconverged_engines()
        )
        if not injector.injected:
            other.append("the step was not reached")


async def _run_phases(deployment: Deployment, cell: Cell, injector: FaultInjector) -> None:
    await _run_normal_load(deployment, "before", ENTRIES[1:])
    await cell.step.scenario(deployment, injector)
    if injector.injected:
        await injector.healed.wait()
    await trio.sleep(SETTLE_S)
    for upstream in LEAVING_UPSTREAMS:
        if upstream in deployment.world.listed.by_id:
            deployment.announce_leaving(upstream)
    await _run_normal_load(deployment, "after", deployment.entry_names())
    await trio.sleep(SETTLE_S)
    await _planned_stop(deployment)
    await trio.sleep(SETTLE_S)


async def _run_normal_load(deployment: Deployment, name: str, entries: tuple[str, ...]) -> None:
    """Run sessions, calls and a configuration change concurrently."""
    async with trio.open_nursery() as nursery:
        for number in range(2):
            session = deployment.session(f"{name}-session-{number}", entries, length=SHORT_TOKENS)
            nursery.start_soon(session.run)
            nursery.start_soon(deployment.call(f"{name}-call-{number}", entries).run)
        nursery.start_soon(deployment.change)


async def _planned_stop(deployment: Deployment) -> None:
    """Stop an entry with a session in progress, while callers still use its address."""
    entry = next(name for name in deployment.entry_names() if name != FOCUS_ENTRY)
    others = tuple(name for name in deployment.entry_names() if name != entry)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(deployment.session("stop-session", (entry, *others), length=70).run)
        await trio.sleep(1)
        nursery.start_soon(deployment.stop, entry)
        await trio.sleep(3)
        nursery.start_soon(deployment.call("stop-call", (entry, *others)).run)
        nursery.start_soon(deployment.session("stop-late", (entry, *others), length=5).run)


@contextlib.contextmanager
def _seeded(seed: int) -> Iterator[None]:
    """Derive all randomness from a seed, including the order in which trio runs tasks."""
    source = random.Random(seed)
    core = trio._core._run

    def make(given: object = None) -> random.Random:
        return _Random(source.getrandbits(64) if given is None else given)

    with (
        mock.patch.object(random, "Random", make),
        mock.patch.object(secrets, "token_hex", lambda size=16: source.randbytes(size).hex()),
        mock.patch.object(core, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
    ):
        core._r.seed(seed)
        yield


_Random = random.Random
