"""Sessions that move between entries: takeover, release by the old holder, status and cancel."""

from contextlib import asynccontextmanager
from dataclasses import replace

import trio

from egretstack.callers import GenerationBody
from egretstack.delivery import (
    GenerationHolders,
    SessionIdCipher,
    SessionRef,
    SessionReleased,
    SessionTaken,
)
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
from tests.test_world import contract_of, open_small_deployment

load_tests = tests_of(globals())

TOKENS = 400
STEP_S = 0.2
"""At this time per token, the answer takes longer than two resume windows of 30 s."""
LIMIT_S = 600.0
PLACE = (RunnerId("r"), GenerationId("g"))


class Connection:
    """A caller's connection: reads a session like the HTTP handler, until it is disconnected."""

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
        self._host.on_caller_disconnected(self.session, reader)
        self.closed.set()

    @property
    def last(self):
        return self.numbers[-1]

    def disconnect(self):
        self._scope.cancel()


def host_of(entry):
    return entry.kernel.get(SessionHost)


class Deployment:
    """A few entries, and a caller that reads a long answer from the first one."""

    def __init__(self, world, entries, nursery):
        self.world = world
        self.entries = entries
        self._nursery = nursery

    async def open(self, tokens):
        body = GenerationBody(ModelName("story"), f"a story tokens:{tokens}", True, tokens)
        session = await host_of(self.entries[0]).open(contract_of(self.entries[0]), body)
        return Connection(self.entries[0], session, -1, self._nursery)

    async def reconnect(self, number, old):
        """Connect to an entry with the number of the last event that the caller received."""
        entry = self.entries[number]
        host = host_of(entry)
        session = await host.pick_up(contract_of(entry), old.session.id, old.last)
        return Connection(entry, session, old.last, self._nursery)

    @property
    def generation(self):
        live = [
            generation
            for engine in self.world.engine_by_id.values()
            for generation in engine.live.by_id.values()
        ]
        check.assertEqual(len(live), 1)
        return live[0]


@asynccontextmanager
async def open_long_stream(entries=3, tokens=TOKENS, step_s=STEP_S):
    """Yield a deployment, and the connection of a caller that has read for two seconds."""
    fixture = open_small_deployment(entries=entries, step_s=step_s)
    with trio.fail_after(LIMIT_S):
        async with fixture as (world, started), trio.open_nursery() as nursery:
            deployment = Deployment(world, started, nursery)
            connection = await deployment.open(tokens)
            await trio.sleep(2)
            yield deployment, connection
            nursery.cancel_scope.cancel()


def check_delivered_once(*connections):
    """Check that the connections together delivered the complete answer, each event once."""
    numbers = [number for connection in connections for number in connection.numbers]
    check.assertEqual(numbers, list(range(TOKENS + 1)))
    check.assertEqual(connections[-1].session.outcome, FinishedAnswer("", TOKENS))


def refusal(caught):
    return caught.exception.kind


async def test_the_old_owner_does_not_cancel_a_session_read_elsewhere():
    # The caller's connection breaks and it reconnects to another entry. The first entry is still
    # running; at the end of its resume window it would cancel the generation and abort the caller's
    # new stream. The new entry has notified it to release the session.
    async with open_long_stream() as (deployment, first):
        first.disconnect()
        await trio.sleep(1)
        second = await deployment.reconnect(1, first)
        await second.closed.wait()
        check_delivered_once(first, second)


async def test_an_unreachable_owner_is_notified_once_it_is_reachable():
    # While the caller moves, the network between the two entries is cut for 10 s. The new entry
    # repeats its request until it is answered, which is before the owner's resume window ends.
    async with open_long_stream() as (deployment, first):
        deployment.world.network.cut(deployment.entries[0].host, deployment.entries[1].host)
        first.disconnect()
        second = await deployment.reconnect(1, first)
        await trio.sleep(10)
        deployment.world.network.heal()
        await second.closed.wait()
        check_delivered_once(first, second)


async def test_a_session_that_moved_twice_is_released_by_the_second_entry():
    # The session id names the first entry. The second entry took the session over, its connection
    # to the caller breaks too, and the third takes over: it learns of the second from the first.
    async with open_long_stream() as (deployment, first):
        first.disconnect()
        second = await deployment.reconnect(1, first)
        await trio.sleep(2)
        second.disconnect()
        third = await deployment.reconnect(2, second)
        await third.closed.wait()
        check_delivered_once(first, second, third)


async def test_a_session_that_moved_twice_after_its_owner_was_killed():
    # As before, but the entry that the id names is dead. The third entry learns of the second
    # holder from the entry that all entries choose for this generation by rendezvous hashing.
    async with open_long_stream(entries=5) as (deployment, first):
        first.disconnect()
        deployment.entries[0].kill()
        deployment.world.set_state("entry-0", MemberState.LEAVING)
        await trio.sleep(2)
        second = await deployment.reconnect(1, first)
        await trio.sleep(2)
        second.disconnect()
        third = await deployment.reconnect(2, second)
        await third.closed.wait()
        check_delivered_once(first, second, third)


async def test_the_newest_of_two_connections_at_two_entries_wins():
    # Both connections are open: a client gave up on the first one without closing it. The older
    # one ends without an end event, so that its reader cannot take it for a complete answer.
    async with open_long_stream() as (deployment, first):
        second = await deployment.reconnect(1, first)
        await first.closed.wait()
        check.assertIsNone(first.session.outcome)
        await second.closed.wait()
        check.assertEqual(second.last, TOKENS)
        check.assertEqual(first.numbers, list(range(first.last + 1)))


async def test_the_newest_of_two_connections_at_one_entry_wins():
    async with open_long_stream() as (deployment, first):
        second = await deployment.reconnect(0, first)
        check.assertIs(second.session, first.session)
        await first.closed.wait()
        check.assertIsNone(first.session.outcome)
        await second.closed.wait()
        check.assertEqual(second.last, TOKENS)


async def test_a_caller_that_comes_back_is_served_again_by_the_first_entry():
    # The caller moves from the first entry to the second and back. The first entry must not keep
    # its record of the second as the holder, nor be told to release the session that it took back.
    async with open_long_stream() as (deployment, first):
        first.disconnect()
        second = await deployment.reconnect(1, first)
        await trio.sleep(2)
        second.disconnect()
        third = await deployment.reconnect(0, second)
        await third.closed.wait()
        check_delivered_once(first, second, third)


async def test_a_position_that_is_no_longer_kept_is_read_from_the_engine():
    # The caller comes back to the same entry with an old event number; the events after it were
    # dropped from memory. A second pump of the same generation replaces the first. If the first
    # ran until the end of its resume window, it would cancel the generation of the second.
    tokens = 1500
    async with open_long_stream(tokens=tokens, step_s=0.05) as (deployment, first):
        await trio.sleep(40)
        first.disconnect()
        entry = deployment.entries[0]
        session = await host_of(entry).pick_up(contract_of(entry), first.session.id, 5)
        check.assertIsNot(session, first.session)
        again = Connection(entry, session, 5, deployment._nursery)
        await again.closed.wait()
        check.assertEqual(again.numbers, list(range(6, tokens + 1)))


async def test_a_caller_that_never_comes_back_ends_the_generation():
    async with open_long_stream() as (deployment, first):
        first.disconnect()
        await trio.sleep(29)
        check.assertIs(deployment.generation.state, GenerationState.RUNNING)
        await trio.sleep(2)
        check.assertIs(deployment.generation.state, GenerationState.CANCELLED)


async def test_a_position_ahead_of_the_owner_is_rejected():
    async with open_long_stream() as (deployment, first):
        host, contract = host_of(deployment.entries[0]), contract_of(deployment.entries[0])
        with check.assertRaises(EgretError) as caught:
            await host.pick_up(contract, first.session.id, 5000)
        check.assertIs(refusal(caught), ErrorKind.BAD_REQUEST)
        await trio.sleep(1)
        check.assertIsNone(first.session.outcome)


async def test_a_position_ahead_of_the_engine_is_rejected_at_another_entry():
    # The caller names event 390 while the engine is at event 10. The second entry cannot know that,
    # so it requests event 390 itself; the engine has the generation but not the event.
    async with open_long_stream() as (deployment, first):
        first.disconnect()
        entry = deployment.entries[1]
        session = await host_of(entry).pick_up(contract_of(entry), first.session.id, 390)
        await session.wait_for_end()
        check.assertIs(session.outcome.kind, ErrorKind.BAD_REQUEST)


async def test_a_session_of_another_account_is_as_unknown_as_a_forged_one():
    # Another account obtained a session id. Nothing about the session is disclosed or changed, and
    # the answer is the same as for an id that never existed.
    async with open_long_stream() as (deployment, first):
        acme = contract_of(deployment.entries[1])
        other = replace(acme, account=AccountId("other"))
        host = host_of(deployment.entries[1])
        forged = first.session.id[:-6] + "AAAAAA"
        unknown_key = SessionIdCipher([SessionIdCipher.new_key()]).seal(_ref())
        for contract, text in ((other, first.session.id), (acme, forged), (acme, unknown_key)):
            for action in (host.pick_up(contract, text, 0), host.state(contract, text)):
                with check.assertRaises(EgretError) as caught:
                    await action
                check.assertEqual(str(caught.exception), "not-found: no such session")
            with check.assertRaises(EgretError):
                await host.cancel(contract, text)
        check.assertIs(deployment.generation.state, GenerationState.RUNNING)


async def test_an_id_sealed_with_an_older_key_still_opens():
    # The operators put a new first key into the key files, one instance after the other. Callers
    # still use session ids that the old key sealed.
    async with open_long_stream() as (deployment, first):
        access = deployment.entries[1].kernel.get(PlatformAccess)
        access.tokens = SessionIdCipher([SessionIdCipher.new_key(), *access._keys()])
        first.disconnect()
        second = await deployment.reconnect(1, first)
        await second.closed.wait()
        check_delivered_once(first, second)


async def test_status_and_cancel_work_through_another_entry():
    # A cancel sent to another entry is forwarded to the engine; the entry that serves the stream
    # sees the generation end and reports the delivered count to its reader.
    async with open_long_stream() as (deployment, first):
        host, contract = host_of(deployment.entries[1]), contract_of(deployment.entries[1])
        check.assertIs(await host.state(contract, first.session.id), GenerationState.RUNNING)
        await host.cancel(contract, first.session.id)
        await first.closed.wait()
        check.assertIs(first.session.outcome.kind, ErrorKind.GENERATION_CANCELLED)
        check.assertEqual(first.session.outcome.delivered, first.last)
        check.assertIs(await host.state(contract, first.session.id), GenerationState.CANCELLED)


async def test_an_entry_takes_over_a_session_on_an_engine_that_was_already_leaving():
    # The engine is already leaving when the new entry starts, so that entry never added it. It is
    # still listed and runs the generation; reporting the generation as lost would be false.
    async with open_long_stream(entries=1) as (deployment, first):
        for name in deployment.world.engine_by_id:
            deployment.world.set_state(name, MemberState.LEAVING)
        await trio.sleep(3)
        deployment.entries.append(await deployment.world.start("entry-late", Program.ENTRY))
        await trio.sleep(2)
        first.disconnect()
        second = await deployment.reconnect(1, first)
        await second.closed.wait()
        check_delivered_once(first, second)


def test_holders_are_bounded_in_number_and_time():
    holders = GenerationHolders(ttl_s=10, limit=3)
    for number in range(5):
        holders.record(number, (RunnerId("r"), GenerationId(str(number))), InstanceId("i"))
    check.assertEqual(len(holders), 3)
    check.assertIsNone(holders.holder(20, (RunnerId("r"), GenerationId("4"))))
    holders.record(21, PLACE, InstanceId("a"))
    holders.record(22, PLACE, InstanceId("b"))
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
    # The first entry dies while the second holds no share of the account's limits. The request was
    # admitted before, so the caller gets the rest of the answer instead of a refusal.
    async with open_long_stream() as (deployment, first):
        deployment.entries[0].kill()
        accounts = deployment.entries[1].kernel.get(Accounts)

        def refuse(contract):
            raise EgretError(ErrorKind.OVER_CONCURRENCY, "no share is held here")

        accounts.open = refuse
        second = await deployment.reconnect(1, first)
        await second.closed.wait()
        check_delivered_once(first, second)


async def test_a_takeover_follows_the_holders_that_answers_name():
    # The owner answers that a second entry took the session over, which names a third. They can be
    # found in no other way here, since rendezvous hashing chooses the owner itself.
    notified = []
    previous = {"owner": "second", "second": "third", "third": "second"}

    class EntryListStub:
        def members(self, service, state=None):
            live = ["owner"] if state else ["owner", "second", "third"]
            return [
                Member(name, service, ZoneName("a"), name, {"peer": 1}, MemberState.LIVE)
                for name in live
            ]

    async def send_request(peer, host, port, message):
        await trio.lowlevel.checkpoint()
        notified.append(peer)
        return SessionReleased(previous[peer])

    own = InstanceId("newcomer")
    takeover = Takeover(EntryListStub(), own, SessionTaken(own, *PLACE))
    with trio.fail_after(LIMIT_S):
        await takeover.run(send_request, {InstanceId("owner"), None}, lambda: True)
    check.assertEqual(notified, ["owner", "second", "third"])
    check.assertEqual(takeover.unnotified, set())
