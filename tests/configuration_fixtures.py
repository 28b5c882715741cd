"""Configuration changes and sites of several instances, for tests."""

from contextlib import asynccontextmanager

import trio

from egretstack.configuration import (
    Change,
    ConfigurationStore,
    Head,
    Snapshot,
    part_digest,
)
from egretstack.ids import ChangeId, Revision
from egretstack.services.configuration import Configuration
from egretstack.settings import Program
from standins.object_store import InProcessObjectApi
from standins.world import open_world
from tests.support import check

IN_FORCE_TIMEOUT_S = 5.0
HEALTHY_ZONES = ("a", "b", "c")


def contract(name, mark=0):
    """Give a contract's sections; each `mark` gives another text."""
    return {"contract": {"account": name, "key_sha256": f"{mark:064x}"}}


def snapshot_of(revision, parts, recent=None):
    """Give a snapshot by hand; `parts` maps an account to a mark."""
    sections = {f"contract.{name}": contract(name, mark) for name, mark in parts.items()}
    ids = tuple(ChangeId(one) for one in recent or [f"c{i}" for i in range(1, revision + 1)])
    digests = {part: part_digest(one) for part, one in sections.items()}
    return Snapshot(Head(Revision(revision), ids[-1], digests, ids), sections)


def change_of(name, mark, change_id, expected=None):
    """Give a change of one contract."""
    part = f"contract.{name}"
    sections = None if mark is None else contract(name, mark)
    return Change(ChangeId(change_id), {part: sections}, {part: expected})


def store_of(world):
    """Give an operator's view of the configuration."""
    return ConfigurationStore(InProcessObjectApi(world.store))


def revision_of(process):
    """Give the revision in force on a process."""
    return process.kernel.get(Configuration).state.revision


@asynccontextmanager
async def open_deployment(stewards, entries=0):
    """Give a world of instances in three availability zones with a first configuration."""
    async with open_world() as world:
        await world.configure(contract__acme=contract("acme"))
        started = []
        for number in range(max(stewards, entries)):
            zone = HEALTHY_ZONES[number % len(HEALTHY_ZONES)]
            if number < stewards:
                started.append(await world.start(f"i-{number}", Program.STEWARD, zone))
            if number < entries:
                started.append(await world.start(f"i-{number}", Program.ENTRY, zone))
        with trio.fail_after(30):
            while min(revision_of(one) for one in started) < 1:
                await trio.sleep(0.1)
        # A watch that an earlier choice of watchers opened ends within its life.
        await trio.sleep(6)
        yield world, started


def pause_instance(world, process):
    """Make an instance as others see it when it is frozen: connections hang, nothing moves."""
    for host in {one.host for one in world.listed.by_id.values()} - {process.host}:
        world.network.cut(process.host, host)
    process.access.store_client.cut = True


async def wait_in_force(processes, revision, limit_s=IN_FORCE_TIMEOUT_S):
    """Wait until a revision is in force on all; fail after the limit. Give the seconds."""
    start_s = trio.current_time()
    while True:
        behind = [one.name for one in processes if revision_of(one) < revision]
        taken_s = trio.current_time() - start_s
        if not behind:
            return taken_s
        if taken_s > limit_s:
            check.fail(f"revision {revision} not in force after {limit_s} s on {behind}")
        await trio.sleep(0.02)
