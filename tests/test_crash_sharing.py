"""What is known of requests under which runners end: restarts, cuts, homes and the store."""

import trio

from egretstack.crashes import record_row
from egretstack.services.crash_list import FIELD
from egretstack.services.fleet_port import FleetPort
from standins.platform import GENERATION, StoreFault
from tests.crash_site import (
    begun,
    check_refused,
    content_of,
    crashes,
    end_under_it,
    refused_everywhere,
    replace_ended,
    send_again_and_again,
    send_ending,
)
from tests.platform_site import platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

KIND = "egret-crash-records"
PATH = "/plans/1"
ENDS = 3


async def until_refused(site):
    """End engines until every instance refuses the request."""
    end_under_it(site)
    await send_again_and_again(site, PATH, ENDS, headers=GENERATION)
    await site.until(lambda: refused_everywhere(site, PATH))


async def kill(site, entry):
    """End an instance at once."""
    site.scope_by_instance[site.settings(entry).instance].cancel()
    await trio.sleep(0.05)


def stored(site):
    """Give the record of the request as the store has it."""
    spec = site.store.spec(KIND, content_of(PATH))
    return None if spec is None else spec[FIELD]


def cut_off_from_peers(kernel):
    """Let an instance neither hear nor reach any other."""
    port = kernel.get(FleetPort)
    port.send_encoded = lambda address, data: None
    port._handler_by_kind.clear()


def is_home(kernel):
    return kernel.get(FleetPort).is_home()


@on_real_clock
async def test_a_restart_of_every_instance_forgets_no_refusal():
    # Guards against a fleet that begins to end its runners anew after it was killed.
    async with platform_site(entries=2, plain=0, engines=3) as site:
        await until_refused(site)
        await site.until(lambda: stored(site) is not None)
        for number in range(2):
            await kill(site, number)
        site.kernels.clear()
        await site.start_entry(2)
        await site.until_ready()
        await site.until(lambda: refused_everywhere(site, PATH))
        before = begun(site)
        check_refused(await send_ending(site, PATH, "e-9", headers=GENERATION))
        check.assertEqual(begun(site), before)


@on_real_clock
async def test_ends_before_and_after_a_restart_count_together():
    # Guards against restarts that are each time followed by three more ends.
    async with platform_site(plain=0, engines=3) as site:
        end_under_it(site)
        await send_again_and_again(site, PATH, 2, headers=GENERATION)
        await site.until(lambda: stored(site) is not None)
        await kill(site, 0)
        site.kernels.clear()
        await site.start_entry(1)
        await site.until_ready()
        await site.until(lambda: crashes(site).is_suspected(content_of(PATH)))
        await send_again_and_again(site, PATH, 4, tag="f", headers=GENERATION)
        check.assertEqual(begun(site), ENDS)


@on_real_clock
async def test_an_instance_that_starts_later_refuses_too():
    # Guards against an instance that is new to the fleet as a way to runners.
    async with platform_site(plain=0, engines=3) as site:
        await until_refused(site)
        await site.start_entry(1)
        await site.until_ready()
        await site.until(lambda: refused_everywhere(site, PATH))
        check_refused(await send_ending(site, PATH, "e-9", entry=1, headers=GENERATION))


@on_real_clock
async def test_an_instance_cut_off_from_its_peers_refuses_what_the_store_tells():
    # Guards against a cut between instances that both reach the store.
    async with platform_site(entries=2, plain=0, engines=3) as site:
        end_under_it(site)
        cut_off_from_peers(site.kernels[1])
        await site.until(lambda: is_home(site.kernels[1]))
        for number in range(ENDS):
            await send_ending(site, PATH, f"e-{number}", headers=GENERATION)
            await replace_ended(site, number)
        await site.until(lambda: refused_everywhere(site, PATH))
        check_refused(await send_ending(site, PATH, "e-9", entry=1, headers=GENERATION))


@on_real_clock
async def test_ends_on_both_sides_of_a_cut_count_together():
    # Guards against three ends for each part of a fleet that is in parts.
    async with platform_site(entries=2, plain=0, engines=3) as site:
        end_under_it(site)
        cut_off_from_peers(site.kernels[1])
        await site.until(lambda: is_home(site.kernels[1]))
        for number in range(8):
            await send_ending(site, PATH, f"e-{number}", number % 2, headers=GENERATION)
            await replace_ended(site, number)
            await trio.sleep(0.3)
        check.assertLessEqual(begun(site), 2 * ENDS - 1)
        check.assertTrue(refused_everywhere(site, PATH))


@on_real_clock
async def test_a_store_that_is_away_changes_nothing():
    # Guards against refusals that wait for the store.
    for fault in (StoreFault.SILENT, StoreFault.BUSY, StoreFault.LOST):
        async with platform_site(entries=2, plain=0, engines=6) as site:
            site.store.fault = fault
            end_under_it(site)
            for number in range(ENDS):
                await send_ending(site, PATH, f"e-{number}", number % 2, headers=GENERATION)
                await trio.sleep(0.1)
            await site.until(lambda site=site: refused_everywhere(site, PATH))
            check.assertEqual(begun(site), ENDS)
            site.store.fault = StoreFault.NONE
            await site.until(lambda site=site: stored(site) is not None)


@on_real_clock
async def test_the_next_home_goes_on_from_what_the_former_one_knew():
    # Guards against a home that dies between two ends.
    async with platform_site(entries=3, plain=0, engines=3) as site:
        end_under_it(site)
        home = next(one for one in range(3) if is_home(site.kernels[one]))
        others = [one for one in range(3) if one != home]
        for number in range(2):
            await send_ending(site, PATH, f"e-{number}", others[number], headers=GENERATION)
            await replace_ended(site, number)
        await kill(site, home)
        del site.kernels[home]
        await site.until(lambda: any(is_home(one) for one in site.kernels))
        await send_again_and_again(site, PATH, 4, tag="f", headers=GENERATION)
        check.assertEqual(begun(site), ENDS)


@on_real_clock
async def test_a_record_that_an_operator_deletes_lets_the_request_run_again():
    # Guards against a refusal that nobody can take back.
    async with platform_site(entries=2, plain=0, engines=3) as site:
        await until_refused(site)
        await site.until(lambda: stored(site) is not None)
        for one in site.engines:
            one.fatal_body = None
        site.store.remove(KIND, content_of(PATH))
        await site.until(
            lambda: not any(crashes(site, entry).is_refused(content_of(PATH)) for entry in range(2))
        )
        check.assertEqual((await send_ending(site, PATH, "e-9", 1, headers=GENERATION))[0], 200)


@on_real_clock
async def test_records_that_cannot_be_read_spoil_no_others():
    # Guards against what somebody else wrote under the system's kind.
    async with platform_site(entries=1, plain=0, engines=1) as site:
        for number, bad in enumerate([None, "x", [0, {"a": 9}, True], [1], {}]):
            site.store.put(KIND, f"bad-{number}", {FIELD: bad})
        site.store.put(KIND, "bad-spec", {})
        record = [0, {"a": 2, "b": 2, "c": 2}, True]
        site.store.put(KIND, content_of(PATH), {FIELD: record})
        await site.until(lambda: refused_everywhere(site, PATH))
        check.assertEqual(record_row(crashes(site).record(content_of(PATH))), record)
        check.assertEqual(len(crashes(site)), 1)
