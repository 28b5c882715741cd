"""Limits through whole programs: cuts, deaths and outages between real services."""

import trio

from egretstack.errors import EgretError, ErrorKind
from egretstack.ids import AccountId, InstanceId
from egretstack.limits import SLICE_TTL_S, WARM_UP_S, GrantRequest, Share, make_query
from egretstack.objectapi import MemberState
from egretstack.peers import Nothing
from egretstack.services.accounts import Accounts
from egretstack.services.configuration import Configuration
from egretstack.services.limits import Limits
from egretstack.services.peer_port import PeerPort
from egretstack.settings import Program
from standins.world import PORTS
from tests.support import check, tests_of
from tests.test_world import CONTRACT, contract_of, small_site

load_tests = tests_of(globals())

SLOTS = 50
BURST = 20


async def admit(process, count, gap_s=0.0):
    """Send requests that stay open; give how many were let in, and the refusals."""
    accounts = process.kernel.get(Accounts)
    refusals = []

    async def one():
        try:
            await accounts.ready(contract_of(process))
            accounts.open(contract_of(process))
        except EgretError as error:
            refusals.append(error)

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(one)
            await trio.sleep(gap_s)
    return count - len(refusals), refusals


def home_and_others(entries):
    """Give the process that is the home of acme, and the others."""
    home = entries[0].kernel.get(Limits)._homes.home("acme")
    return (
        next(one for one in entries if one.name == home),
        [one for one in entries if one.name != home],
    )


def home_of(process):
    """Give the home of acme as a process sees it."""
    return process.kernel.get(Limits)._homes.home("acme")


def open_at(process):
    """Tell how many requests are open at a process."""
    return process.kernel.get(Limits).entry.open_count("acme")


async def test_one_entry_of_three_gets_the_whole_contract():
    async with small_site(entries=3) as (_, entries):
        await trio.sleep(WARM_UP_S + 3)
        _, others = home_and_others(entries)
        admitted, _ = await admit(others[0], BURST)
        check.assertEqual(admitted, BURST)
        await admit(others[0], SLOTS, gap_s=0.11)
        check.assertEqual(open_at(others[0]), SLOTS)


async def test_a_request_over_the_limits_is_refused_at_once():
    async with small_site(entries=3) as (_, entries):
        await trio.sleep(WARM_UP_S + 3)
        _, others = home_and_others(entries)
        before = trio.current_time()
        admitted, refusals = await admit(others[0], 3 * BURST)
        check.assertLess(trio.current_time() - before, 0.5)
        check.assertEqual(admitted, BURST)
        for refusal in refusals:
            check.assertIs(refusal.kind, ErrorKind.RATE_LIMITED)
            check.assertGreaterEqual(refusal.retry_after_s, 1)


async def test_a_fresh_site_serves_by_the_conservative_shares():
    # The whole site has just started. No home lends yet, and nobody is refused for that.
    async with small_site(entries=2) as (_, entries):
        admitted, _ = await admit(entries[0], 5)
        check.assertEqual(admitted, 5)


async def test_a_killed_home_is_replaced_and_open_requests_stay_counted():
    # Forty requests are open when the home is killed. The instance list drops it; another
    # instance becomes the home, and lends what is left of the contract.
    async with small_site(entries=3) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        await admit(others[0], 40, gap_s=0.11)
        home.kill()
        del world.listed.by_id[home.name]
        with trio.fail_after(60):
            while any(home_of(one) == home.name for one in others):
                await trio.sleep(0.5)
        await trio.sleep(WARM_UP_S + SLICE_TTL_S)
        await admit(others[1], 40, gap_s=0.11)
        check.assertEqual(open_at(others[0]) + open_at(others[1]), SLOTS)


async def test_an_entry_cut_off_serves_by_its_share_and_comes_back():
    # The way between an entry and the home loses everything in both directions. Callers of the
    # entry get a share of the contract; after the mend they get all of it again.
    async with small_site(entries=3) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        world.network.cut(home.host, others[0].host)
        admitted, _ = await admit(others[0], 40, gap_s=0.5)
        check.assertIn(open_at(others[0]), (16, 17))
        check.assertEqual(admitted, open_at(others[0]))
        world.network.mend()
        await trio.sleep(6)
        await admit(others[0], 60, gap_s=0.15)
        check.assertEqual(open_at(others[0]), SLOTS)


async def test_an_entry_cut_one_way_serves_by_its_share():
    async with small_site(entries=3) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        world.network.cuts.add((home.host, others[0].host))
        await admit(others[0], 40, gap_s=0.5)
        check.assertIn(open_at(others[0]), (16, 17))


async def test_limits_go_on_while_the_platform_is_away():
    async with small_site(entries=3) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        world.store.down = True
        world.listed.down = True
        await trio.sleep(60)
        _, others = home_and_others(entries)
        await admit(others[0], 70, gap_s=0.11)
        check.assertEqual(open_at(others[0]), SLOTS)


async def test_a_leaving_instance_is_no_home_but_still_gets_slices():
    async with small_site(entries=3) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        world.set_state(home.name, MemberState.LEAVING)
        await trio.sleep(WARM_UP_S + SLICE_TTL_S)
        new = others[0].kernel.get(Limits)._homes.home("acme")
        check.assertNotEqual(new, InstanceId(home.name))
        await admit(home, 70, gap_s=0.11)
        check.assertEqual(open_at(home), SLOTS)


async def test_a_lowered_limit_is_in_force_with_the_configuration():
    async with small_site(entries=3) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        for entry in entries:
            await world.start(entry.name, Program.STEWARD)
        _, others = home_and_others(entries)
        await admit(others[0], 10)
        lowered = {
            "contract": {"account": "acme", "key_sha256": "f" * 64},
            "limits": {"concurrency": "12"},
        }
        await world.configure(contract__acme=lowered)
        state = others[0].kernel.get(Configuration).state
        with trio.fail_after(30):
            while state.contract_by_account["acme"].concurrency != 12:
                await trio.sleep(0.1)
        await admit(others[0], 20, gap_s=0.2)
        check.assertLessEqual(open_at(others[0]), 12)


async def test_the_end_of_a_request_is_counted_out():
    async with small_site(entries=2) as (_, entries):
        await admit(entries[0], 3)
        check.assertEqual(open_at(entries[0]), 3)
        entries[0].kernel.get(Accounts).close("acme")
        check.assertEqual(open_at(entries[0]), 2)


async def one_call(process):
    """Make one short request; give its refusal, or None."""
    admitted, refusals = await admit(process, 1)
    if admitted:
        process.kernel.get(Accounts).close("acme")
    return refusals[0] if refusals else None


async def call_all_along(process, time_s, gap_s):
    """Make short requests for some time; give the refusals."""
    end_s = trio.current_time() + time_s
    refusals = []
    while trio.current_time() < end_s:
        refusal = await one_call(process)
        if refusal is not None:
            refusals.append(refusal)
        await trio.sleep(gap_s)
    return refusals


async def test_a_cold_entry_admits_a_caller_whose_home_was_killed():
    # The account's home is killed and still listed. The caller goes to an entry that never held
    # a slice, waits for the home in vain, and gets the entry's conservative share.
    async with small_site(entries=3) as (_, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        home.kill()
        check.assertEqual(await call_all_along(others[0], 30, 1.0), [])


async def test_an_entry_with_a_spent_slice_admits_a_caller_whose_home_was_killed():
    # A caller with little demand holds a slice without a token left when the home is killed. No
    # home gives another token, for as long as the slice lasts or a new home is warming up.
    async with small_site(entries=3) as (_, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        check.assertIsNone(await one_call(others[0]))
        home.kill()
        check.assertEqual(await call_all_along(others[0], 30, 0.7), [])


async def test_the_survivor_of_two_entries_admits_a_caller_within_its_contract():
    # Two entries; the home is killed while the other holds a slice without a token left. The
    # survivor becomes the home and lends nothing while it warms up.
    async with small_site(entries=2) as (_, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        check.assertIsNone(await one_call(others[0]))
        home.kill()
        check.assertEqual(await call_all_along(others[0], 30, 0.7), [])


async def test_the_first_call_at_a_fresh_entry_is_admitted():
    # One more instance starts and may become the home. Each entry, the new one included, has a
    # caller within the contract all along; one of them asks for the first time at each moment.
    async with small_site(entries=2) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        check.assertIsNone(await one_call(entries[0]))
        fresh = await world.start("entry-9", Program.ENTRY)
        for process in [fresh, *entries]:
            check.assertEqual(await call_all_along(process, 8, 0.9), [])


async def test_a_peer_cannot_ask_in_the_name_of_another():
    # A peer asks the home in another entry's name, with a serial above all of that entry's, and
    # says that nothing is open there. The home would lend the open requests' slots once more,
    # and take every later ask of that entry for an old one.
    async with small_site(entries=3) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        await admit(others[0], 10)
        loans = home.kernel.get(Limits).home._grants_by_account[AccountId("acme")]
        before = loans._grant_by_entry[InstanceId(others[0].name)]
        row = GrantRequest(AccountId("acme"), 0, 0, Share(), Share(), 0.0)
        ask = make_query(InstanceId(others[0].name), 10**15, [row])
        port = others[1].kernel.get(PeerPort)
        answer = await port.ask(InstanceId(home.name), home.host, PORTS["peer"], ask)
        check.assertIsInstance(answer, Nothing)
        check.assertEqual(loans._grant_by_entry[InstanceId(others[0].name)], before)


async def test_no_ask_counts_a_request_that_an_answer_has_just_let_in():
    # Requests arrive one after the other while answers come. An answer has given a token for a
    # request that waits, and before that request runs, another arrival makes the entry ask once
    # more. Counted there again, it would take a second token, and a later caller be refused.
    async with small_site(entries=3) as (_, entries):
        await trio.sleep(WARM_UP_S + 3)
        _, others = home_and_others(entries)
        entry = others[0].kernel.get(Limits).entry
        inner = entry.due_queries
        counted_twice = []

        def due(now_s):
            held = entry._state_by_account.get(AccountId("acme"))
            if held is not None and held.waiting:
                counted_twice.append(entry._refusal(now_s, AccountId("acme"), held) is None)
            return inner(now_s)

        entry.due_queries = due
        for _ in range(20):
            await admit(others[0], BURST)
            for _ in range(open_at(others[0])):
                others[0].kernel.get(Accounts).close("acme")
            await trio.sleep(8)
        check.assertGreater(len(counted_twice), 0)
        check.assertEqual(sum(counted_twice), 0)


async def test_a_third_entry_is_served_when_a_new_home_opens():
    # One of four entries, the home, is killed. Callers at two others are served by their shares
    # while the new home warms up. The last entry is asked for the first time as it opens: what
    # the others kept makes up the contract, though they hardly use it.
    async with small_site(entries=4) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        home.kill()
        while any(home_of(one) == home.name for one in others):
            for one in others:
                check.assertIsNone(await one_call(one))
            await trio.sleep(0.5)
        fresh = await world.start("entry-9", Program.ENTRY)
        refusals = []
        for _turn in range(16):
            for one in others:
                refusals.append(await one_call(one))
            refusals.append(await one_call(fresh))
            await trio.sleep(1.0)
        check.assertEqual([one for one in refusals if one], [])


async def test_a_call_after_a_quiet_time_is_not_refused():
    # A caller sends two requests soon after a start, when the new home lends nothing and counts
    # the share that its entry keeps: all of the contract at a site of one entry. The next request
    # comes a quarter of a minute later. The tokens since the share's end are there for it.
    contract = {
        **CONTRACT,
        "limits": {"requests_per_s": "1000", "burst": "1000", "concurrency": "1000"},
    }
    async with small_site(entries=1, contract=contract) as (_, entries):
        limits = entries[0].kernel.get(Limits)
        held = contract_of(entries[0])
        for quiet_s in (0.1, 15, 0):
            await limits.ready(held)
            limits.open(held)
            limits.close(held.account)
            await trio.sleep(quiet_s)
