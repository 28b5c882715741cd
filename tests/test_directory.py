"""Whom the directory names to callers after an instance was killed."""

import trio

from egretstack.fleet import Fleet
from egretstack.ids import RegionName
from egretstack.services.directory_port import DirectoryPort
from standins.platform import HOST
from tests.fleet_fixtures import known_instance
from tests.platform_site import WAIT_S, platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

NAMED_AT_MOST_S = 6.0
"""The shortest calm of the users' deployments and 3 s: a killed instance is named no longer."""
PERIOD_S = 0.25


def names(site, number):
    """Count the addresses that a directory would name now."""
    port = site.kernels[number].get(DirectoryPort)
    return len(port.ready_addresses(RegionName("bajio"), HOST))


def test_a_killed_instance_is_named_for_seconds_only_whoever_vouches_for_it():
    # An instance is killed, and right after it the home that vouched for it. The next home takes
    # the former one's word for a moment, as it has heard few reports itself. Callers are sent to
    # the killed one for no longer than the users' rule allows.
    view = Fleet(known_instance(0), 0.0)
    first, killed, following = known_instance(1), known_instance(2), known_instance(3)
    everyone = [first, killed, following]
    for one in everyone:
        view.record_report(0.0, one)
    view.record_live_instances(0.0, first.instance.id, everyone)
    now_s, named_s = 0.0, 0.0
    while now_s < 2 * NAMED_AT_MOST_S:
        now_s += PERIOD_S
        view.record_report(now_s, following)
        if now_s > 0.9:
            told = [following] if now_s > 2.2 else [killed, following]
            view.record_live_instances(now_s, following.instance.id, told)
        if killed in view.live(now_s):
            named_s = now_s
    check.assertGreater(named_s, 0.0)
    check.assertLess(named_s, NAMED_AT_MOST_S)
    check.assertIn(following, view.live(now_s))


@on_real_clock
async def test_callers_are_sent_to_a_killed_instance_no_more_and_never_again():
    # Three instances, one of which is killed. The directories of the others drop it, and do not
    # name it again as their home changes.
    async with platform_site(entries=3) as site:
        gone = site.settings(2).front_address
        directories = [site.settings(number).directory_address for number in range(2)]
        # Once all are ready, a directory answers at once, if only with its own address.
        check.assertTrue(await site.resolve(directories[0]))
        await site.until(lambda: all(names(site, number) >= 3 for number in range(2)))
        site.scopes[site.settings(2).instance].cancel()
        with trio.fail_after(WAIT_S):
            while any([gone in await site.resolve(one) for one in directories]):
                await trio.sleep(PERIOD_S)
        for _ in range(12):
            for one in directories:
                named = await site.resolve(one)
                check.assertNotIn(gone, named)
                check.assertTrue(named)
            await trio.sleep(PERIOD_S)
