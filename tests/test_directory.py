"""Which instances the directory lists for clients after an instance was killed."""

import trio

from egretstack.fleet import Fleet
from egretstack.ids import RegionName
from egretstack.services.directory_port import DirectoryPort
from standins.platform import HOST
from tests.fleet_fixtures import known_instance
from tests.platform_site import WAIT_S, platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

MAX_NAMED_S = 6.0
"""The shortest calm time of the users' deployments plus 3 s; no killed instance is listed for
longer."""
PERIOD_S = 0.25


def address_count(site, number):
    """Return the number of addresses that a directory would list now."""
    port = site.kernels[number].get(DirectoryPort)
    return len(port.ready_addresses(RegionName("bajio"), HOST))


def test_a_killed_instance_is_listed_for_a_bounded_time_after_a_change_of_home():
    # Guards against listing a killed instance for longer than the users' rule allows. The home that
    # reported it as live is killed right after it, and the next home has received few reports
    # itself, so it relies on the former home's list for a moment.
    fleet = Fleet(known_instance(0), 0.0)
    first, killed, following = known_instance(1), known_instance(2), known_instance(3)
    instances = [first, killed, following]
    for instance in instances:
        fleet.record_report(0.0, instance)
    fleet.record_live_instances(0.0, first.instance.id, instances)
    now_s, named_s = 0.0, 0.0
    while now_s < 2 * MAX_NAMED_S:
        now_s += PERIOD_S
        fleet.record_report(now_s, following)
        if now_s > 0.9:
            live = [following] if now_s > 2.2 else [killed, following]
            fleet.record_live_instances(now_s, following.instance.id, live)
        if killed in fleet.live(now_s):
            named_s = now_s
    check.assertGreater(named_s, 0.0)
    check.assertLess(named_s, MAX_NAMED_S)
    check.assertIn(following, fleet.live(now_s))


@on_real_clock
async def test_a_killed_instance_is_dropped_from_the_directories_for_good():
    # One of three instances is killed. The directories of the others drop it, and must not list it
    # again when their home changes.
    async with platform_site(entries=3) as site:
        killed = site.settings(2).front_address
        directories = [site.settings(number).directory_address for number in range(2)]
        # Once all are ready, a directory answers at once, though perhaps only with its own address.
        check.assertTrue(await site.resolve(directories[0]))
        await site.until(lambda: all(address_count(site, number) >= 3 for number in range(2)))
        site.scope_by_instance[site.settings(2).instance].cancel()
        with trio.fail_after(WAIT_S):
            while any([killed in await site.resolve(one) for one in directories]):
                await trio.sleep(PERIOD_S)
        for _ in range(12):
            for directory in directories:
                addresses = await site.resolve(directory)
                check.assertNotIn(killed, addresses)
                check.assertTrue(addresses)
            await trio.sleep(PERIOD_S)
