"""Limits in whole programs: cuts, kills and outages between real services."""

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
from tests.test_world import CONTRACT, contract_of, open_small_deployment

load_tests = tests_of(globals())

SLOTS = 50
BURST = 20


async def admit(process, count, gap_s=0.0):
    """Send requests that stay open; return how many were admitted, and the refusals."""
    accounts = process.kernel.get(Accounts)
    refusals = []

    async def admit_one():
        try:
            await accounts.ready(contract_of(process))
            accounts.open(contract_of(process))
        except EgretError as error:
            refusals.append(error)

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(admit_one)
            await trio.sleep(gap_s)
    return count - len(refusals), refusals


def home_and_others(entries):
    """Return the process that is the home of acme, and the others."""
    home = entries[0].kernel.get(Limits)._homes.home("acme")
    return (
        next(process for process in entries if process.name == home),
        [process for process in entries if process.name != home],
    )


def home_of(process):
    """Return the home of acme in a process's view."""
    return process.kernel.get(Limits)._homes.home("acme")


def open_at(process):
    """Return how many requests are open at a process."""
    return process.kernel.get(Limits).entry.open_count("acme")


async def test_one_entry_of_three_gets_the_whole_contract():
    async with open_small_deployment(entries=3) as (_, entries):
        await trio.sleep(WARM_UP_S + 3)
        _, others = home_and_others(entries)
        admitted, _ = await admit(others[0], BURST)
        check.assertEqual(admitted, BURST)
        await admit(others[0], SLOTS, gap_s=0.11)
        check.assertEqual(open_at(others[0]), SLOTS)


async def test_a_request_over_the_limits_is_refused_at_once():
    async with open_small_deployment(entries=3) as (_, entries):
        await trio.sleep(WARM_UP_S + 3)
        _, others = home_and_others(entries)
        before = trio.current_time()
        admitted, refusals = await admit(others[0], 3 * BURST)
        check.assertLess(trio.current_time() - before, 0.5)
        check.assertEqual(admitted, BURST)
        for refusal in refusals:
            check.assertIs(refusal.kind, ErrorKind.RATE_LIMITED)
            check.assertGreaterEqual(refusal.retry_after_s, 1)


async def test_a_new_deployment_serves_by_the_conservative_shares():
    # The whole deployment has just started. No home grants yet, and nobody is refused for that.
    async with open_small_deployment(entries=2) as (_, entries):
        admitted, _ = await admit(entries[0], 5)
        check.assertEqual(admitted, 5)


async def test_a_killed_home_is_replaced_and_open_requests_stay_counted():
    # Forty requests are open when the home is killed and dropped from the instance list. Another
    # instance becomes the home and grants what is left of the contract.
    async with open_small_deployment(entries=3) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        await admit(others[0], 40, gap_s=0.11)
        home.kill()
        del world.listed.by_id[home.name]
        with trio.fail_after(60):
            while any(home_of(process) == home.name for process in others):
                await trio.sleep(0.5)
        await trio.sleep(WARM_UP_S + SLICE_TTL_S)
        await admit(others[1], 40, gap_s=0.11)
        check.assertEqual(open_at(others[0]) + open_at(others[1]), SLOTS)


async def test_an_entry_cut_off_serves_by_its_share_and_recovers():
    # All messages between an entry and the home are lost in both directions. The entry's callers
    # get a share of the contract; when the connection is restored, they get all of it again.
    async with open_small_deployment(entries=3) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        world.network.cut(home.host, others[0].host)
        admitted, _ = await admit(others[0], 40, gap_s=0.5)
        check.assertIn(open_at(others[0]), (16, 17))
        check.assertEqual(admitted, open_at(others[0]))
        world.network.heal()
        await trio.sleep(6)
        await admit(others[0], 60, gap_s=0.15)
        check.assertEqual(open_at(others[0]), SLOTS)


async def test_an_entry_cut_one_way_serves_by_its_share():
    async with open_small_deployment(entries=3) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        world.network.cuts.add((home.host, others[0].host))
        await admit(others[0], 40, gap_s=0.5)
        check.assertIn(open_at(others[0]), (16, 17))


async def test_limits_continue_while_the_platform_is_unavailable():
    async with open_small_deployment(entries=3) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        world.store.down = True
        world.listed.down = True
        await trio.sleep(60)
        _, others = home_and_others(entries)
        await admit(others[0], 70, gap_s=0.11)
        check.assertEqual(open_at(others[0]), SLOTS)


async def test_a_leaving_instance_is_no_home_but_still_gets_slices():
    async with open_small_deployment(entries=3) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        world.set_state(home.name, MemberState.LEAVING)
        await trio.sleep(WARM_UP_S + SLICE_TTL_S)
        new = others[0].kernel.get(Limits)._homes.home("acme")
        check.assertNotEqual(new, InstanceId(home.name))
        await admit(home, 70, gap_s=0.11)
        check.assertEqual(open_at(home), SLOTS)


async def test_a_lowered_limit_is_in_force_with_the_configuration():
    async with open_small_deployment(entries=3) as (world, entries):
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


async def test_the_end_of_a_request_is_counted():
    async with open_small_deployment(entries=2) as (_, entries):
        await admit(entries[0], 3)
        check.assertEqual(open_at(entries[0]), 3)
        entries[0].kernel.get(Accounts).close("acme")
        check.assertEqual(open_at(entries[0]), 2)


async def call_once(process):
    """Make one short request; return its refusal, or None."""
    admitted, refusals = await admit(process, 1)
    if admitted:
        process.kernel.get(Accounts).close("acme")
    return refusals[0] if refusals else None


async def call_repeatedly(process, time_s, gap_s):
    """Make short requests for some time; return the refusals."""
    end_s = trio.current_time() + time_s
    refusals = []
    while trio.current_time() < end_s:
        refusal = await call_once(process)
        if refusal is not None:
            refusals.append(refusal)
        await trio.sleep(gap_s)
    return refusals


async def test_a_cold_entry_admits_a_caller_whose_home_was_killed():
    # The account's home is killed and still listed. The caller uses an entry that never held a
    # slice, waits for the home without an answer, and gets the entry's conservative share.
    async with open_small_deployment(entries=3) as (_, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        home.kill()
        check.assertEqual(await call_repeatedly(others[0], 30, 1.0), [])


async def test_an_entry_with_a_spent_slice_admits_a_caller_whose_home_was_killed():
    # A caller with little demand has a slice without a token left when the home is killed. No
    # home gives another token while the slice is valid or a new home is warming up.
    async with open_small_deployment(entries=3) as (_, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        check.assertIsNone(await call_once(others[0]))
        home.kill()
        check.assertEqual(await call_repeatedly(others[0], 30, 0.7), [])


async def test_the_survivor_of_two_entries_admits_a_caller_within_its_contract():
    # Of two entries the home is killed while the other holds a slice without a token left. The
    # survivor becomes the home and grants nothing while it warms up.
    async with open_small_deployment(entries=2) as (_, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        check.assertIsNone(await call_once(others[0]))
        home.kill()
        check.assertEqual(await call_repeatedly(others[0], 30, 0.7), [])


async def test_the_first_call_at_a_new_entry_is_admitted():
    # One more instance starts and may become the home. Every entry, including the new one, has a
    # caller within the contract throughout; at any moment one of them makes its first request.
    async with open_small_deployment(entries=2) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        check.assertIsNone(await call_once(entries[0]))
        fresh = await world.start("entry-9", Program.ENTRY)
        for process in [fresh, *entries]:
            check.assertEqual(await call_repeatedly(process, 8, 0.9), [])


async def test_a_peer_cannot_query_in_the_name_of_another():
    # A peer queries the home in another entry's name, with a greater serial than that entry's, and
    # states that nothing is open there. The home would grant the slots of the open requests again
    # and treat every later query of that entry as outdated.
    async with open_small_deployment(entries=3) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        await admit(others[0], 10)
        grants = home.kernel.get(Limits).home._grants_by_account[AccountId("acme")]
        before = grants._grant_by_entry[InstanceId(others[0].name)]
        row = GrantRequest(AccountId("acme"), 0, 0, Share(), Share(), 0.0)
        query = make_query(InstanceId(others[0].name), 10**15, [row])
        port = others[1].kernel.get(PeerPort)
        answer = await port.request(InstanceId(home.name), home.host, PORTS["peer"], query)
        check.assertIsInstance(answer, Nothing)
        check.assertEqual(grants._grant_by_entry[InstanceId(others[0].name)], before)


async def test_no_query_counts_a_request_that_an_answer_has_just_admitted():
    # Requests arrive while answers arrive. An answer brings a token for a waiting request, and
    # before that request continues, another arrival makes the entry send a query. If the request
    # were counted there again, it would use up a second token and a later caller be refused.
    async with open_small_deployment(entries=3) as (_, entries):
        await trio.sleep(WARM_UP_S + 3)
        _, others = home_and_others(entries)
        entry = others[0].kernel.get(Limits).entry
        inner = entry.due_queries
        counted_twice = []

        def due(now_s):
            state = entry._state_by_account.get(AccountId("acme"))
            if state is not None and state.waiting:
                counted_twice.append(entry._refusal(now_s, AccountId("acme"), state) is None)
            return inner(now_s)

        entry.due_queries = due
        for _ in range(20):
            await admit(others[0], BURST)
            for _ in range(open_at(others[0])):
                others[0].kernel.get(Accounts).close("acme")
            await trio.sleep(8)
        check.assertGreater(len(counted_twice), 0)
        check.assertEqual(sum(counted_twice), 0)


async def test_a_third_entry_is_served_when_a_new_home_starts_granting():
    # One of four entries, the home, is killed. Callers of the others are served by their shares
    # while the new home warms up. A new entry gets its first request when the home starts to
    # grant: what the others keep adds up to the contract, though they hardly use it.
    async with open_small_deployment(entries=4) as (world, entries):
        await trio.sleep(WARM_UP_S + 3)
        home, others = home_and_others(entries)
        home.kill()
        while any(home_of(process) == home.name for process in others):
            for process in others:
                check.assertIsNone(await call_once(process))
            await trio.sleep(0.5)
        fresh = await world.start("entry-9", Program.ENTRY)
        refusals = []
        for _ in range(16):
            for process in others:
                refusals.append(await call_once(process))
            refusals.append(await call_once(fresh))
            await trio.sleep(1.0)
        check.assertEqual([process for process in refusals if process], [])


async def test_a_call_after_a_quiet_time_is_not_refused():
    # A caller sends two requests soon after the start, when the new home grants nothing and counts
    # the share that its entry keeps: the whole contract in a deployment of one entry. The next
    # request comes 15 s later; the tokens since the share expired have to be available for it.
    contract = {
        **CONTRACT,
        "limits": {"requests_per_s": "1000", "burst": "1000", "concurrency": "1000"},
    }
    async with open_small_deployment(entries=1, contract=contract) as (_, entries):
        limits = entries[0].kernel.get(Limits)
        contract_in_force = contract_of(entries[0])
        for quiet_s in (0.1, 15, 0):
            await limits.ready(contract_in_force)
            limits.open(contract_in_force)
            limits.close(contract_in_force.account)
            await trio.sleep(quiet_s)
