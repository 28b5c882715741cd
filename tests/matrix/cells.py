"""Runs one cell: ordinary work, the path with its fault, ordinary work again, a planned stop."""

import contextlib
import random
import secrets
from collections.abc import Iterator
from dataclasses import dataclass, field
from unittest import mock

import trio
import trio.testing

from tests.matrix.faults import FAULT_BY_NAME
from tests.matrix.history import EndlessHistory, History
from tests.matrix.paths import FOCUS_ENTRY, Step, Striker
from tests.matrix.points import Violation, stale_orders, unproved, violations
from tests.matrix.site import ENTRIES, Site, open_site

SEED = 20261202
CELL_LIMIT_S = 600.0
"""Bound on a cell, in seconds of the mock clock: a planned stop that never ends is a failure."""
SETTLE_S = 7.0
SHORT_TOKENS = 8
LEAVING_UPSTREAMS = ("engine-2", "holds-1")


class CellFailed(AssertionError):
    """A cell broke a point, or did not come to its end."""

    def __init__(self, broken: list[Violation], other: list[str]) -> None:
        lines = [f"{one.point.name}: {one.detail}" for one in broken] + other
        super().__init__("; ".join(lines))
        self.broken = broken
        self.other = other


@dataclass(frozen=True)
class Cell:
    """A step, and the faults that strike together at it."""

    step: Step
    faults: tuple[str, ...]

    @property
    def name(self) -> str:
        """Give the name of the cell's test."""
        return f"test_{self.step.path.value}_{self.step.name}__{'__'.join(self.faults)}"


@dataclass
class Result:
    """What a cell's history showed."""

    history: History
    broken: list[Violation] = field(default_factory=list)
    other: list[str] = field(default_factory=list)


def run_cell(cell: Cell, seed: int = SEED) -> Result:
    """Run a cell from a seed and check its history."""
    with _seeded(seed):
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(_bounded, cell, clock=clock)


def check_cell(cell: Cell, seed: int = SEED) -> None:
    """Run a cell; raise CellFailed."""
    result = run_cell(cell, seed)
    if result.broken or result.other:
        raise CellFailed(result.broken, result.other)


async def _bounded(cell: Cell) -> Result:
    history = History()
    other: list[str] = []
    try:
        await _recorded(cell, history, other)
    except ExceptionGroup as group:
        if group.subgroup(EndlessHistory) is None:
            raise
        other.append("the history does not end")
    other.extend(stale_orders(history))
    other.extend(f"no evidence for {point.name}" for point in unproved(history))
    return Result(history, violations(history), other)


async def _recorded(cell: Cell, history: History, other: list[str]) -> None:
    async with open_site(history) as site:
        faults = tuple(FAULT_BY_NAME[name] for name in cell.faults)
        striker = Striker(site, cell.step.path, faults)
        with trio.move_on_after(CELL_LIMIT_S) as limit:
            await _walk(site, cell, striker)
        if limit.cancelled_caught:
            other.append("the cell did not come to its end")
        other.extend(f"{name} does not serve what it should" for name in site.unconverged())
        if not striker.struck:
            other.append("the step was not reached")


async def _walk(site: Site, cell: Cell, striker: Striker) -> None:
    await _ordinary_work(site, "before", ENTRIES[1:])
    await cell.step.walk(site, striker)
    if striker.struck:
        await striker.healed.wait()
    await trio.sleep(SETTLE_S)
    for upstream in LEAVING_UPSTREAMS:
        if upstream in site.world.listed.by_id:
            site.leave(upstream)
    await _ordinary_work(site, "after", site.entry_names())
    await trio.sleep(SETTLE_S)
    await _planned_stop(site)
    await trio.sleep(SETTLE_S)


async def _ordinary_work(site: Site, name: str, entries: tuple[str, ...]) -> None:
    """Have sessions, calls and a change done side by side."""
    async with trio.open_nursery() as nursery:
        for number in range(2):
            session = site.session(f"{name}-session-{number}", entries, length=SHORT_TOKENS)
            nursery.start_soon(session.run)
            nursery.start_soon(site.call(f"{name}-call-{number}", entries).run)
        nursery.start_soon(site.change)


async def _planned_stop(site: Site) -> None:
    """Stop an entry that has a session in progress, and callers that still use its address."""
    entry = next(name for name in site.entry_names() if name != FOCUS_ENTRY)
    others = tuple(name for name in site.entry_names() if name != entry)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(site.session("stop-session", (entry, *others), length=70).run)
        await trio.sleep(1)
        nursery.start_soon(site.stop, entry)
        await trio.sleep(3)
        nursery.start_soon(site.call("stop-call", (entry, *others)).run)
        nursery.start_soon(site.session("stop-late", (entry, *others), length=5).run)


@contextlib.contextmanager
def _seeded(seed: int) -> Iterator[None]:
    """Draw all randomness from a seed, and trio's order of tasks as well."""
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
