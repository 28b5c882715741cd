"""Fixtures: configuration changes and simulated deployments of several instances."""

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
ZONES = ("a", "b", "c")


def contract(name, mark=0):
    """Return a contract's sections; each `mark` results in a different text."""
    return {"contract": {"account": name, "key_sha256": f"{mark:064x}"}}


def snapshot_of(revision, parts, recent=None):
    """Return a snapshot built directly; `parts` maps accounts to marks."""
    sections = {f"contract.{name}": contract(name, mark) for name, mark in parts.items()}
    ids = tuple(ChangeId(text) for text in recent or [f"c{i}" for i in range(1, revision + 1)])
    digests = {part: part_digest(text) for part, text in sections.items()}
    return Snapshot(Head(Revision(revision), ids[-1], digests, ids), sections)


def change_of(name, mark, change_id, expected=None):
    """Return a change of one contract."""
    part = f"contract.{name}"
    sections = None if mark is None else contract(name, mark)
    return Change(ChangeId(change_id), {part: sections}, {part: expected})


def operator_store(deployment):
    """Return a configuration store as an operator uses it."""
    return ConfigurationStore(InProcessObjectApi(deployment.store))


def revision_of(process):
    """Return the revision in force on a process."""
    return process.kernel.get(Configuration).state.revision


@asynccontextmanager
async def open_deployment(stewards, entries=0):
    """Open a simulated deployment in three availability zones with a first configuration."""
    async with open_world() as deployment:
        await deployment.configure(contract__acme=contract("acme"))
        started = []
        for number in range(max(stewards, entries)):
            zone = ZONES[number % len(ZONES)]
            if number < stewards:
                started.append(await deployment.start(f"i-{number}", Program.STEWARD, zone))
            if number < entries:
                started.append(await deployment.start(f"i-{number}", Program.ENTRY, zone))
        with trio.fail_after(30):
            while min(revision_of(process) for process in started) < 1:
                await trio.sleep(0.1)
        # Watches opened by previously chosen watchers end within their duration.
        await trio.sleep(6)
        yield deployment, started


def pause_instance(deployment, process):
    """Make an instance look paused to others: its connections hang without an error."""
    for host in {member.host for member in deployment.listed.by_id.values()} - {process.host}:
        deployment.network.cut(process.host, host)
    process.access.store_client.cut = True


async def wait_in_force(processes, revision, limit_s=IN_FORCE_TIMEOUT_S):
    """Wait until a revision is in force on all processes; return the seconds it took.

    Fails after `limit_s`.
    """
    start_s = trio.current_time()
    while True:
        behind = [process.name for process in processes if revision_of(process) < revision]
        elapsed_s = trio.current_time() - start_s
        if not behind:
            return elapsed_s
        if elapsed_s > limit_s:
            check.fail(f"revision {revision} not in force after {limit_s} s on {behind}")
        await trio.sleep(0.02)
