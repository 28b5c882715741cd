"""Each accepted change is in force on every instance within five seconds despite failures."""

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
    operator_store,
    pause_instance,
    revision_of,
    wait_in_force,
)
from tests.support import check, tests_of

load_tests = tests_of(globals())

STEWARDS = 20


def split_watchers(deployment, processes):
    """Return the stewards that watch, and the other processes."""
    members = [
        member for member in deployment.listed.by_id.values() if member.service == ENTRY_SERVICE
    ]
    chosen = choose_stewards(members)
    by_name = {
        process.name: process for process in processes if process.kernel.has(ConfigurationWatch)
    }
    return [by_name[name] for name in chosen], [
        process for process in processes if process.name not in chosen
    ]


async def accept(deployment, mark):
    """Commit another text of one contract; return the revision."""
    return await deployment.configure(contract__acme=contract("acme", mark))


async def test_a_change_is_in_force_everywhere_and_few_stewards_watch():
    async with open_deployment(STEWARDS, entries=5) as (deployment, processes):
        watch_counts = []
        for _ in range(40):
            await trio.sleep(0.25)
            watch_counts.append(deployment.store.waiting_watches)
        # Each watch is reopened every two seconds, so a single sample may count fewer.
        check.assertEqual(max(watch_counts), 3)
        for mark in range(1, 4):
            await wait_in_force(processes, await accept(deployment, mark))
            await trio.sleep(1.7)


async def test_a_killed_watcher_does_not_delay_a_change():
    # A steward that watches is killed, and the instance list still contains it. The change reaches
    # the others through the other two watchers.
    async with open_deployment(STEWARDS, entries=5) as (deployment, processes):
        chosen, _ = split_watchers(deployment, processes)
        chosen[0].kill()
        remaining = [process for process in processes if process is not chosen[0]]
        await wait_in_force(remaining, await accept(deployment, 1))


async def test_other_watchers_cover_for_a_killed_one_without_any_other_read():
    async with open_deployment(STEWARDS) as (deployment, processes):
        with patch("egretstack.services.configuration.FLEET_READS_PER_S", 0.0):
            chosen, _ = split_watchers(deployment, processes)
            chosen[0].kill()
            remaining = [process for process in processes if process is not chosen[0]]
            await wait_in_force(remaining, await accept(deployment, 1))


async def test_killing_all_watchers_at_once_does_not_delay_a_change():
    # All watchers are killed, and the instance list lags. Nobody announces the change; the
    # occasional reads of other stewards find it, and these notify the rest.
    async with open_deployment(STEWARDS, entries=5) as (deployment, processes):
        chosen, _ = split_watchers(deployment, processes)
        for process in chosen:
            process.kill()
        remaining = [process for process in processes if process not in chosen]
        await wait_in_force(remaining, await accept(deployment, 1))


async def test_a_paused_watcher_and_a_paused_steward_do_not_delay_a_change():
    # Two stewards are paused: connections to them hang without an error. Their children in one
    # tree get the announcement through another, and a pull that hangs is abandoned soon. Once
    # resumed, the two have the revision within the same time.
    async with open_deployment(STEWARDS, entries=5) as (deployment, processes):
        chosen, others = split_watchers(deployment, processes)
        paused = [
            chosen[0],
            next(process for process in others if process.kernel.has(ConfigurationWatch)),
        ]
        for process in paused:
            pause_instance(deployment, process)
        hosts = {process.host for process in paused}
        remaining = [process for process in processes if process.host not in hosts]
        revision = await accept(deployment, 1)
        await wait_in_force(remaining, revision)
        deployment.network.heal()
        for process in paused:
            process.access.store_client.cut = False
        await wait_in_force(processes, revision)


async def test_an_instance_disconnected_from_its_peers_reads_the_platform():
    async with open_deployment(4) as (deployment, processes):
        _, others = split_watchers(deployment, processes)
        for host in {process.host for process in processes} - {others[0].host}:
            deployment.network.cut(others[0].host, host)
        # With four stewards one read of the platform per second is due to each two of them.
        await wait_in_force(processes, await accept(deployment, 1), 10.0)


async def test_an_instance_disconnected_from_the_platform_is_updated_by_peers():
    async with open_deployment(STEWARDS, entries=5) as (deployment, processes):
        chosen, _ = split_watchers(deployment, processes)
        for process in processes:
            process.access.store_client.cut = process is not chosen[0]
        await wait_in_force(processes, await accept(deployment, 1))


async def test_a_change_survives_a_platform_outage_right_after_acceptance():
    # The operator's change is accepted, the watchers get one watch event, and the platform becomes
    # unavailable before anybody can read the part. The event carries the text of the change.
    async with open_deployment(STEWARDS, entries=5) as (deployment, processes):
        deployment.store.faults.delay_s = 0.5
        revision = await accept(deployment, 1)
        await trio.sleep(0.05)
        deployment.store.faults.down = True
        await wait_in_force(processes, revision)


async def test_unresponsive_watches_hide_a_change_for_less_than_five_seconds():
    # Every watch is open and receives nothing, as after a device on the path dropped the
    # connections' state. Each is abandoned soon after its bookmark is due, and the head is read.
    # Other reads are disabled.
    async with open_deployment(3) as (deployment, processes):
        deployment.store.faults.silent_watches = True
        await trio.sleep(0.3)
        await wait_in_force(processes, await accept(deployment, 1))


async def test_an_instance_that_starts_during_an_outage_gets_the_configuration_from_a_peer():
    async with open_deployment(4) as (deployment, _):
        deployment.store.faults.down = True
        for program in (Program.STEWARD, Program.ENTRY):
            late = await deployment.start("late", program)
            await wait_in_force([late], 1)


async def test_a_store_restored_from_an_older_copy_is_rejected_also_by_a_new_instance():
    # The store is restored from a copy made before two changes. Every instance keeps its
    # configuration, and one that starts now queries its peers before the store.
    async with open_deployment(6, entries=2) as (deployment, processes):
        copy = deployment.store.snapshot()
        await accept(deployment, 1)
        revision = await accept(deployment, 2)
        await wait_in_force(processes, revision)
        deployment.store.restore(copy)
        late = await deployment.start("late", Program.STEWARD)
        await trio.sleep(20)
        check.assertEqual({revision_of(process) for process in [*processes, late]}, {revision})
        check.assertTrue(any(_alarms(process, "CONFIG_REFUSED_OLDER") for process in processes))


async def test_a_restored_store_that_counts_past_the_revision_in_force_is_rejected():
    # After the restore, operators commit changes until the store's revision is higher than the one
    # in force. Applying it would silently undo the changes that the copy lacks.
    async with open_deployment(6, entries=2) as (deployment, processes):
        copy = deployment.store.snapshot()
        in_force = await accept(deployment, 1)
        await wait_in_force(processes, in_force)
        deployment.store.restore(copy)
        for mark in range(10, 13):
            await accept(deployment, mark)
        await trio.sleep(20)
        check.assertEqual({revision_of(process) for process in processes}, {in_force})
        check.assertTrue(any(_alarms(process, "CONFIG_FORKED") for process in processes))


async def test_an_invalid_part_leaves_the_old_revision_in_force():
    # A part that this version cannot parse is committed without the operator's tool. No instance
    # stops or applies half of it, and the next valid change is in force everywhere.
    async with open_deployment(6, entries=2) as (deployment, processes):
        await deployment.configure(contract__acme={"contract": {"account": "acme"}})
        await trio.sleep(8)
        check.assertEqual({revision_of(process) for process in processes}, {1})
        check.assertTrue(any(_alarms(process, "CONFIG_BAD") for process in processes))
        await wait_in_force(processes, await accept(deployment, 3))


async def test_a_removed_contract_is_removed_everywhere():
    async with open_deployment(6, entries=2) as (deployment, processes):
        await deployment.configure(contract__gone=contract("gone", 5))
        revision = await deployment.configure(contract__gone=None)
        await wait_in_force(processes, revision)
        for process in processes:
            accounts = process.kernel.get(Configuration).state.contract_by_account
            check.assertEqual(set(accounts), {"acme"})


async def test_an_instance_far_behind_loads_the_snapshot_in_pieces():
    # More changes than are kept happen while one steward is paused, and the snapshot is larger than
    # one piece. Once resumed, the steward loads the snapshot from a peer, not from the platform.
    async with open_deployment(4) as (deployment, processes):
        _, others = split_watchers(deployment, processes)
        pause_instance(deployment, others[0])
        store = operator_store(deployment)
        for number in range(300):
            name = f"n{number}"
            sections = contract(name, number)
            sections["contract"]["key_sha256"] = ",".join(f"{number:064x}" for _ in range(20))
            await deployment.configure(**{f"contract__{name}": sections})
        revision = (await store.head()).revision
        deployment.network.heal()
        await wait_in_force(processes, revision)
        check.assertEqual(len(others[0].kernel.get(Configuration).state.contract_by_account), 301)


async def test_the_announcements_of_one_steward_are_bounded():
    async with open_deployment(STEWARDS) as (deployment, processes):
        announcers = [process.kernel.get(ConfigurationAnnouncer) for process in processes]
        before = [announcer.sent for announcer in announcers]
        await wait_in_force(processes, await accept(deployment, 1))
        await trio.sleep(3)
        sent = [announcer.sent - old for announcer, old in zip(announcers, before, strict=True)]
        check.assertLessEqual(max(sent), 3 * 4 + 1)
        check.assertLessEqual(deployment.store.calls["get", ObjectKind.CONFIG_PART], 3 * STEWARDS)


def _alarms(process, event):
    alarms = process.kernel.get(Configuration)._alarm_at_s
    return [alarm for alarm, _, _ in alarms if alarm.name == event]
