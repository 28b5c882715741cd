"""Each accepted change is in force on every instance within five seconds, whatever fails."""

from unittest.mock import patch

import trio

from egretstack.configuration import choose_stewards
from egretstack.objectapi import ENTRY_SERVICE, ObjectKind
from egretstack.services.configuration import Configuration
from egretstack.services.configuration_news import ConfigurationAnnouncer
from egretstack.services.configuration_watch import ConfigurationWatch
from egretstack.settings import Program
from tests.configuration_fixtures import (
    contract,
    open_deployment,
    pause_instance,
    revision_of,
    store_of,
    wait_in_force,
)
from tests.support import check, tests_of

load_tests = tests_of(globals())

STEWARDS = 20


def watching(world, processes):
    """Give the stewards that watch, and the others."""
    members = [one for one in world.listed.by_id.values() if one.service == ENTRY_SERVICE]
    chosen = choose_stewards(members)
    named = {one.name: one for one in processes if one.kernel.has(ConfigurationWatch)}
    return [named[one] for one in chosen], [one for one in processes if one.name not in chosen]


async def accept(world, mark):
    """Accept another text of one contract; give the revision."""
    return await world.configure(contract__acme=contract("acme", mark))


async def test_a_change_is_in_force_everywhere_and_few_stewards_watch():
    async with open_deployment(STEWARDS, entries=5) as (world, processes):
        waiting = []
        for _ in range(40):
            await trio.sleep(0.25)
            waiting.append(world.store.waiting_watches)
        # Each watch is opened anew every two seconds, so a single look may see fewer.
        check.assertEqual(max(waiting), 3)
        for mark in range(1, 4):
            await wait_in_force(processes, await accept(world, mark))
            await trio.sleep(1.7)


async def test_a_watcher_that_is_killed_holds_no_change_up():
    # A steward that watches is killed; the instance list names it still. The change reaches
    # the others through the two that watch beside it.
    async with open_deployment(STEWARDS, entries=5) as (world, processes):
        chosen, _ = watching(world, processes)
        chosen[0].kill()
        left = [one for one in processes if one is not chosen[0]]
        await wait_in_force(left, await accept(world, 1))


async def test_a_watcher_that_is_killed_is_backed_by_others_without_any_other_read():
    async with open_deployment(STEWARDS) as (world, processes):
        with patch("egretstack.services.configuration.FLEET_READS_PER_S", 0.0):
            chosen, _ = watching(world, processes)
            chosen[0].kill()
            left = [one for one in processes if one is not chosen[0]]
            await wait_in_force(left, await accept(world, 1))


async def test_every_watcher_killed_at_once_holds_no_change_up():
    # All stewards that watch are killed, and the instance list lags. Nobody is told of the
    # change; the reads that others make now and then find it, and they tell the rest.
    async with open_deployment(STEWARDS, entries=5) as (world, processes):
        chosen, _ = watching(world, processes)
        for one in chosen:
            one.kill()
        left = [one for one in processes if one not in chosen]
        await wait_in_force(left, await accept(world, 1))


async def test_a_frozen_watcher_and_a_frozen_steward_hold_no_change_up():
    # Two stewards are frozen: connections to them hang and never fail. Those that are told by
    # them in one tree hear the news in another, and a pull that hangs is given up soon. The
    # thawed ones are level within the same time.
    async with open_deployment(STEWARDS, entries=5) as (world, processes):
        chosen, others = watching(world, processes)
        frozen = [chosen[0], next(one for one in others if one.kernel.has(ConfigurationWatch))]
        for one in frozen:
            pause_instance(world, one)
        hosts = {one.host for one in frozen}
        left = [one for one in processes if one.host not in hosts]
        revision = await accept(world, 1)
        await wait_in_force(left, revision)
        world.network.mend()
        for one in frozen:
            one.access.store_client.cut = False
        await wait_in_force(processes, revision)


async def test_an_instance_cut_off_from_its_peers_reads_the_platform():
    async with open_deployment(4) as (world, processes):
        _, others = watching(world, processes)
        for host in {one.host for one in processes} - {others[0].host}:
            world.network.cut(others[0].host, host)
        # With four stewards one read of the platform a second is due to each two of them.
        await wait_in_force(processes, await accept(world, 1), 10.0)


async def test_an_instance_cut_off_from_the_platform_hears_from_peers():
    async with open_deployment(STEWARDS, entries=5) as (world, processes):
        chosen, _ = watching(world, processes)
        for one in processes:
            one.access.store_client.cut = one is not chosen[0]
        await wait_in_force(processes, await accept(world, 1))


async def test_the_platform_away_right_after_acceptance():
    # The operator's change is accepted, its watchers get one report, and the platform goes
    # away before anybody could read the part. The report carries the text of the change.
    async with open_deployment(STEWARDS, entries=5) as (world, processes):
        world.store.faults.delay_s = 0.5
        revision = await accept(world, 1)
        await trio.sleep(0.05)
        world.store.faults.down = True
        await wait_in_force(processes, revision)


async def test_watches_gone_silent_hide_a_change_for_less_than_five_seconds():
    # Every watch is open and silent, as when something on the way forgot the connections. Each
    # is given up soon after its bookmark is due, and the head is read. Other reads are stopped.
    async with open_deployment(3) as (world, processes):
        world.store.faults.silent_watches = True
        await trio.sleep(0.3)
        await wait_in_force(processes, await accept(world, 1))


async def test_an_instance_that_starts_in_an_outage_takes_the_configuration_from_a_peer():
    async with open_deployment(4) as (world, _):
        world.store.faults.down = True
        for program in (Program.STEWARD, Program.ENTRY):
            late = await world.start("late", program)
            await wait_in_force([late], 1)


async def test_a_store_restored_from_an_older_copy_is_refused_also_by_a_new_instance():
    # The store is put back to a copy from before two changes. Every instance keeps what it
    # has, and one that starts now asks its peers before the store.
    async with open_deployment(6, entries=2) as (world, processes):
        copy = world.store.snapshot()
        await accept(world, 1)
        revision = await accept(world, 2)
        await wait_in_force(processes, revision)
        world.store.restore(copy)
        late = await world.start("late", Program.STEWARD)
        await trio.sleep(20)
        check.assertEqual({revision_of(one) for one in [*processes, late]}, {revision})
        check.assertTrue(any(_alarms(one, "CONFIG_REFUSED_OLDER") for one in processes))


async def test_a_restored_store_that_counts_past_the_revision_in_force_is_refused():
    # After the restore, operators accept changes anew until the store's revision is higher
    # than the one in force. Taking it would silently undo the changes that the copy lacks.
    async with open_deployment(6, entries=2) as (world, processes):
        copy = world.store.snapshot()
        in_force = await accept(world, 1)
        await wait_in_force(processes, in_force)
        world.store.restore(copy)
        for mark in range(10, 13):
            await accept(world, mark)
        await trio.sleep(20)
        check.assertEqual({revision_of(one) for one in processes}, {in_force})
        check.assertTrue(any(_alarms(one, "CONFIG_FORKED") for one in processes))


async def test_a_part_that_cannot_be_read_leaves_the_old_revision_in_force():
    # A part that this version cannot read is accepted past the operator's tool. No instance
    # stops or takes half of it, and the next good change is in force everywhere.
    async with open_deployment(6, entries=2) as (world, processes):
        await world.configure(contract__acme={"contract": {"account": "acme"}})
        await trio.sleep(8)
        check.assertEqual({revision_of(one) for one in processes}, {1})
        check.assertTrue(any(_alarms(one, "CONFIG_BAD") for one in processes))
        await wait_in_force(processes, await accept(world, 3))


async def test_a_removed_contract_is_gone_everywhere():
    async with open_deployment(6, entries=2) as (world, processes):
        await world.configure(contract__gone=contract("gone", 5))
        revision = await world.configure(contract__gone=None)
        await wait_in_force(processes, revision)
        for one in processes:
            accounts = one.kernel.get(Configuration).state.contract_by_account
            check.assertEqual(set(accounts), {"acme"})


async def test_a_node_far_behind_takes_the_snapshot_in_pieces():
    # More changes than are kept pass while one steward is frozen; the whole is larger than one
    # piece. After the thaw it takes the snapshot from a peer, and the platform has no part in it.
    async with open_deployment(4) as (world, processes):
        _, others = watching(world, processes)
        pause_instance(world, others[0])
        store = store_of(world)
        for number in range(300):
            name = f"n{number}"
            sections = contract(name, number)
            sections["contract"]["key_sha256"] = ",".join(f"{number:064x}" for _ in range(20))
            await world.configure(**{f"contract__{name}": sections})
        revision = (await store.head()).revision
        world.network.mend()
        await wait_in_force(processes, revision)
        check.assertEqual(len(others[0].kernel.get(Configuration).state.contract_by_account), 301)


async def test_news_of_one_steward_are_bounded():
    async with open_deployment(STEWARDS) as (world, processes):
        news = [one.kernel.get(ConfigurationAnnouncer) for one in processes]
        before = [one.sent for one in news]
        await wait_in_force(processes, await accept(world, 1))
        await trio.sleep(3)
        sent = [one.sent - old for one, old in zip(news, before, strict=True)]
        check.assertLessEqual(max(sent), 3 * 4 + 1)
        check.assertLessEqual(world.store.calls["get", ObjectKind.CONFIG_PART], 3 * STEWARDS)


def _alarms(process, event):
    alarms = process.kernel.get(Configuration)._alarm_at_s
    return [one for one, _, _ in alarms if one.name == event]
