"""Sessions that move between entries: pick-up, release of the old holder, status and cancel."""

from contextlib import asynccontextmanager
from dataclasses import replace

import trio

from egretstack.callers import GenerationBody
from egretstack.delivery import Holders, SessionRef, SessionReleased, SessionTaken, TokenBox
from egretstack.errors import EgretError, ErrorKind
from egretstack.ids import (
    AccountId,
    GenerationId,
    InstanceId,
    ModelName,
    RunnerId,
    ServiceName,
    ZoneName,
)
from egretstack.objectapi import Member, MemberState
from egretstack.services.accounts import Accounts
from egretstack.services.platform_access import PlatformAccess
from egretstack.services.session_host import SessionHost
from egretstack.sessions import FinishedAnswer, Takeover
from egretstack.settings import Program
from egretstack.upstreams import GenerationState
from tests.support import check, tests_of
from tests.test_world import contract_of, small_site

load_tests = tests_of(globals())

TOKENS = 400
STEP_S = 0.2
"""At this time for a token, the answer outlives two resume windows of 30 s."""
LIMIT_S = 600.0
PLACE = (RunnerId("r"), GenerationId("g"))


class Connection:
    """A caller's connection: reads a session as its HTTP handler does, until it is cut."""

    def __init__(self, entry, session, after, nursery):
        self.session = session
        self.numbers = []
        self.closed = trio.Event()
        self._host = host_of(entry)
        self._scope = trio.CancelScope()
        nursery.start_soon(self._read, after)

    async def _read(self, after):
        reader = self.session.supersede()
        with self._scope:
            async for batch in self.session.batches(reader, after, 5):
                self.numbers.extend(event.sequence for event in batch)
        self._host.left(self.session, reader)
        self.closed.set()

    @property
    def last(self):
        return self.numbers[-1]

    def cut(self):
        self._scope.cancel()


def host_of(entry):
    return entry.kernel.get(SessionHost)


class Site:
    """A few entries and a caller that reads a long answer at the first one."""

    def __init__(self, world, entries, nursery):
        self.world = world
        self.entries = entries
        self._nursery = nursery

    async def open(self, tokens):
        body = GenerationBody(ModelName("story"), f"a story tokens:{tokens}", True, tokens)
        session = await host_of(self.entries[0]).open(contract_of(self.entries[0]), body)
        return Connection(self.entries[0], session, -1, self._nursery)

    async def reconnect(self, number, old):
        """Connect to another entry, with the number that the caller saw last."""
        entry = self.entries[number]
        host = host_of(entry)
        session = await host.pick_up(contract_of(entry), old.session.id, old.last)
        return Connection(entry, session, old.last, self._nursery)

    @property
    def generation(self):
        found = [one for e in self.world.engine_by_id.values() for one in e.live.by_id.values()]
        check.assertEqual(len(found), 1)
        return found[0]


@asynccontextmanager
async def long_stream(entries=3, tokens=TOKENS, step_s=STEP_S):
    """Give a site, and the connection of a caller that has read for a second."""
    fixture = small_site(entries=entries, step_s=step_s)
    with trio.fail_after(LIMIT_S):
        async with fixture as (world, started), trio.open_nursery() as nursery:
            site = Site(world, started, nursery)
            connection = await site.open(tokens)
            await trio.sleep(2)
            yield site, connection
            nursery.cancel_scope.cancel()


def check_once(*connections):
    """Check that the connections together delivered the whole answer, each event once."""
    numbers = [number for one in connections for number in one.numbers]
    check.assertEqual(numbers, list(range(TOKENS + 1)))
    check.assertEqual(connections[-1].session.outcome, FinishedAnswer("", TOKENS))


def refusal(caught):
    return caught.exception.kind


async def test_the_old_owner_does_not_cancel_a_session_read_elsewhere():
    # The caller's connection breaks and it reconnects to another entry. The first entry is
    # alive; at the end of its resume window it would cancel the generation and so cut the
    # caller off in the middle. The newcomer has told it to let go.
    async with long_stream() as (site, first):
        first.cut()
        await trio.sleep(1)
        second = await site.reconnect(1, first)
        await second.closed.wait()
        check_once(first, second)


async def test_an_owner_that_cannot_be_reached_is_told_as_soon_as_it_can():
    # While the caller moves, the two entries are cut off from each other for 10 s. The newcomer
    # asks again until it is answered, which is before the owner's resume window ends.
    async with long_stream() as (site, first):
        site.world.network.cut(site.entries[0].host, site.entries[1].host)
        first.cut()
        second = await site.reconnect(1, first)
        await trio.sleep(10)
        site.world.network.mend()
        await second.closed.wait()
        check_once(first, second)


async def test_a_session_that_moved_twice_is_let_go_by_the_entry_between():
    # The id names the first entry. The second took the session over, its caller's connection
    # breaks too, and the third picks it up: it learns of the second from the first.
    async with long_stream() as (site, first):
        first.cut()
        second = await site.reconnect(1, first)
        await trio.sleep(2)
        second.cut()
        third = await site.reconnect(2, second)
        await third.closed.wait()
        check_once(first, second, third)


async def test_a_session_that_moved_twice_after_its_owner_was_killed():
    # As before, but the entry that the id names is dead. The newcomer learns of the second
    # holder from the entry that all choose alike for this generation.
    async with long_stream(entries=5) as (site, first):
        first.cut()
        site.entries[0].kill()
        site.world.set_state("entry-0", MemberState.LEAVING)
        await trio.sleep(2)
        second = await site.reconnect(1, first)
        await trio.sleep(2)
        second.cut()
        third = await site.reconnect(2, second)
        await third.closed.wait()
        check_once(first, second, third)


async def test_the_newest_of_two_connections_at_two_entries_wins():
    # Both connections are open: a client that gave up on the first without closing it. The
    # older ends without an end event, so that its reader cannot take it for a whole answer.
    async with long_stream() as (site, first):
        second = await site.reconnect(1, first)
        await first.closed.wait()
        check.assertIsNone(first.session.outcome)
        await second.closed.wait()
        check.assertEqual(second.last, TOKENS)
        check.assertEqual(first.numbers, list(range(first.last + 1)))


async def test_the_newest_of_two_connections_at_one_entry_wins():
    async with long_stream() as (site, first):
        second = await site.reconnect(0, first)
        check.assertIs(second.session, first.session)
        await first.closed.wait()
        check.assertIsNone(first.session.outcome)
        await second.closed.wait()
        check.assertEqual(second.last, TOKENS)


async def test_a_caller_that_comes_back_is_served_again_by_the_first_entry():
    # The caller goes from the first entry to the second and back. The first must not keep the
    # note that the second holds the session, or be told to let go of what it took back.
    async with long_stream() as (site, first):
        first.cut()
        second = await site.reconnect(1, first)
        await trio.sleep(2)
        second.cut()
        third = await site.reconnect(0, second)
        await third.closed.wait()
        check_once(first, second, third)


async def test_a_place_that_is_kept_no_more_is_read_from_the_engine():
    # The caller comes back to the same entry with an old number, whose events were dropped
    # from memory. A second follower of the same generation replaces the first; were the first
    # left to its window's end, it would cancel the generation under the second.
    tokens = 1500
    async with long_stream(tokens=tokens, step_s=0.05) as (site, first):
        await trio.sleep(40)
        first.cut()
        entry = site.entries[0]
        session = await host_of(entry).pick_up(contract_of(entry), first.session.id, 5)
        check.assertIsNot(session, first.session)
        again = Connection(entry, session, 5, site._nursery)
        await again.closed.wait()
        check.assertEqual(again.numbers, list(range(6, tokens + 1)))


async def test_a_caller_that_never_comes_back_ends_the_generation():
    async with long_stream() as (site, first):
        first.cut()
        await trio.sleep(29)
        check.assertIs(site.generation.state, GenerationState.RUNNING)
        await trio.sleep(2)
        check.assertIs(site.generation.state, GenerationState.CANCELLED)


async def test_a_place_ahead_of_the_owner_is_refused():
    async with long_stream() as (site, first):
        host, contract = host_of(site.entries[0]), contract_of(site.entries[0])
        with check.assertRaises(EgretError) as caught:
            await host.pick_up(contract, first.session.id, 5000)
        check.assertIs(refusal(caught), ErrorKind.BAD_REQUEST)
        await trio.sleep(1)
        check.assertIsNone(first.session.outcome)


async def test_a_place_ahead_of_the_engine_is_refused_at_another_entry():
    # The caller names event 390 when the engine is at 10. The second entry cannot know, so it
    # asks for event 390 itself; the engine has the generation and not the event.
    async with long_stream() as (site, first):
        first.cut()
        entry = site.entries[1]
        session = await host_of(entry).pick_up(contract_of(entry), first.session.id, 390)
        await session.wait_for_end()
        check.assertIs(session.outcome.kind, ErrorKind.BAD_REQUEST)


async def test_a_session_of_another_account_is_as_unknown_as_a_forged_one():
    # Another account got hold of a session id. Nothing of the session is told or changed, and
    # the answer does not differ from that to an id that was never made.
    async with long_stream() as (site, first):
        acme = contract_of(site.entries[1])
        other = replace(acme, account=AccountId("other"))
        host = host_of(site.entries[1])
        forged = first.session.id[:-6] + "AAAAAA"
        stranger = TokenBox([TokenBox.new_key()]).seal(_ref())
        for contract, text in ((other, first.session.id), (acme, forged), (acme, stranger)):
            for action in (host.pick_up(contract, text, 0), host.state(contract, text)):
                with check.assertRaises(EgretError) as caught:
                    await action
                check.assertEqual(str(caught.exception), "not-found: no such session")
            with check.assertRaises(EgretError):
                await host.cancel(contract, text)
        check.assertIs(site.generation.state, GenerationState.RUNNING)


async def test_an_id_sealed_with_an_older_key_still_opens():
    # The operators put a new first key in the key files, one instance after the other. Callers
    # keep the ids that the old key sealed.
    async with long_stream() as (site, first):
        access = site.entries[1].kernel.get(PlatformAccess)
        access.tokens = TokenBox([TokenBox.new_key(), *access._keys()])
        first.cut()
        second = await site.reconnect(1, first)
        await second.closed.wait()
        check_once(first, second)


async def test_status_and_cancel_work_through_another_entry():
    # A cancel sent to another entry goes to the engine; the entry that serves the stream sees
    # the generation end there and tells its reader, with the count delivered.
    async with long_stream() as (site, first):
        host, contract = host_of(site.entries[1]), contract_of(site.entries[1])
        check.assertIs(await host.state(contract, first.session.id), GenerationState.RUNNING)
        await host.cancel(contract, first.session.id)
        await first.closed.wait()
        check.assertIs(first.session.outcome.kind, ErrorKind.GENERATION_CANCELLED)
        check.assertEqual(first.session.outcome.delivered, first.last)
        check.assertIs(await host.state(contract, first.session.id), GenerationState.CANCELLED)


async def test_an_entry_that_never_saw_a_leaving_engine_picks_its_session_up():
    # The engine is leaving when the new entry starts, so it never joined there. It is listed
    # still and runs the generation; calling it lost would be false.
    async with long_stream(entries=1) as (site, first):
        for name in site.world.engine_by_id:
            site.world.set_state(name, MemberState.LEAVING)
        await trio.sleep(3)
        site.entries.append(await site.world.start("entry-late", Program.ENTRY))
        await trio.sleep(2)
        first.cut()
        second = await site.reconnect(1, first)
        await second.closed.wait()
        check_once(first, second)


def test_holders_are_bounded_in_number_and_time():
    holders = Holders(life_s=10, most=3)
    for number in range(5):
        holders.note(number, (RunnerId("r"), GenerationId(str(number))), InstanceId("i"))
    check.assertEqual(len(holders), 3)
    check.assertIsNone(holders.holder(20, (RunnerId("r"), GenerationId("4"))))
    holders.note(21, PLACE, InstanceId("a"))
    holders.note(22, PLACE, InstanceId("b"))
    check.assertEqual(holders.holder(23, PLACE), "b")


def _ref():
    return SessionRef(
        AccountId("acme"),
        InstanceId("i"),
        ServiceName("llm"),
        RunnerId("engine-0"),
        GenerationId("g"),
    )


async def test_a_session_admitted_once_is_not_refused_by_limits_at_another_entry():
    # The first entry dies; the second holds no share of the account's limits at that moment.
    # The answer was accepted, so the caller gets the rest of it and not a refusal.
    async with long_stream() as (site, first):
        site.entries[0].kill()
        accounts = site.entries[1].kernel.get(Accounts)

        def refuse(contract):
            raise EgretError(ErrorKind.OVER_CONCURRENCY, "no share is held here")

        accounts.open = refuse
        second = await site.reconnect(1, first)
        await second.closed.wait()
        check_once(first, second)


async def test_a_takeover_follows_the_holders_that_answers_name():
    # The owner answers that a second entry took the session over; that one names a third. No
    # other way leads to them here, since the list chooses the owner itself.
    asked = []
    previous = {"owner": "second", "second": "third", "third": "second"}

    class Listed:
        def members(self, service, state=None):
            live = ["owner"] if state else ["owner", "second", "third"]
            return [
                Member(name, service, ZoneName("a"), name, {"peer": 1}, MemberState.LIVE)
                for name in live
            ]

    async def ask(peer, host, port, message):
        await trio.lowlevel.checkpoint()
        asked.append(peer)
        return SessionReleased(previous[peer])

    own = InstanceId("newcomer")
    takeover = Takeover(Listed(), own, SessionTaken(own, *PLACE))
    with trio.fail_after(LIMIT_S):
        await takeover.run(ask, {InstanceId("owner"), None}, lambda: True)
    check.assertEqual(asked, ["owner", "second", "third"])
    check.assertEqual(takeover.unnotified, set())
