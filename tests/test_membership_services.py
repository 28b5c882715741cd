"""Membership in whole programs: answers to callers, leaving, runners, links that lose messages."""

from collections import Counter
from contextlib import asynccontextmanager

import trio

from egretstack.callers import GenerationBody
from egretstack.errors import EgretError, ErrorKind, UserError
from egretstack.ids import InstanceId, ModelName, Revision, RunnerId
from egretstack.kernel import Kernel
from egretstack.membership import InstanceState
from egretstack.objectapi import MemberState
from egretstack.peers import connect_peer
from egretstack.replay import EngineParameters
from egretstack.services.caller_api import LEAVING_PROPAGATION_S, CallerApi
from egretstack.services.instances import Instances
from egretstack.services.membership import Membership
from egretstack.services.peer_port import IDLE_LINK_S, PeerPort
from egretstack.services.runners import Runners
from egretstack.services.session_host import SessionHost
from egretstack.settings import Program, schema_for
from standins.world import open_world
from tests.support import check, tests_of
from tests.test_world import (
    CONTRACT,
    ENGINES,
    contract_of,
    open_small_deployment,
    open_story,
    read_all,
)

load_tests = tests_of(globals())

PROPAGATION_S = 3.0
GONE_DETECTION_S = 12.0
ANSWER_TTL_S = 30.0


def listed_entries(process):
    """Return the instances that an entry's answer to its callers lists."""
    answer = process.kernel.get(CallerApi).entries(contract_of(process))
    return [row["instance"] for row in answer["entries"]]


def usable(process):
    """Return the runners that get new requests from an entry."""
    found = []
    process.kernel.get(Runners).on_event(found.append)
    return {event.runner.id for event in found}


@asynccontextmanager
async def open_zones(zones):
    """Run a simulated deployment with an entry in each of the zones given."""
    async with open_world() as deployment:
        await deployment.configure(contract__acme=CONTRACT, service__llm=ENGINES)
        started = [
            await deployment.start(f"entry-{number}", Program.ENTRY, zone)
            for number, zone in enumerate(zones)
        ]
        await trio.sleep(5)
        yield deployment, started


async def test_callers_get_entries_of_their_own_zone_first_and_of_another():
    async with open_zones(("a",) * 7 + ("b", "c")) as (_, entries):
        answer = entries[0].kernel.get(CallerApi).entries(contract_of(entries[0]))
        zones = [row["zone"] for row in answer["entries"]]
        check.assertEqual(zones[:3], ["a", "a", "a"])
        check.assertEqual(sorted(zones[3:]), ["b", "c"])
        check.assertEqual(answer["keep_s"], ANSWER_TTL_S)
        check.assertEqual(listed_entries(entries[0]), listed_entries(entries[1]))


async def test_a_leaving_entry_is_removed_from_every_answer_within_seconds():
    async with open_small_deployment(entries=4) as (_, entries):
        entries[1].kernel.begin_drain()
        await trio.sleep(0)
        check.assertNotIn("entry-1", entries[1].kernel.get(Membership).live_instances())
        await trio.sleep(PROPAGATION_S)
        for process in entries:
            check.assertNotIn("entry-1", listed_entries(process))
            check.assertTrue(listed_entries(process))


async def test_a_leaving_entry_serves_as_long_as_answers_are_kept_and_longer():
    # A caller received this entry's address just before it began to leave, or from an entry that
    # did not know it yet, and comes while that answer is valid. If it were refused, it could not
    # know where to go.
    async with open_small_deployment(entries=2) as (_, entries):
        entries[1].kernel.begin_drain()
        await trio.sleep(ANSWER_TTL_S + LEAVING_PROPAGATION_S - 0.5)
        api = entries[1].kernel.get(CallerApi)
        api.check_open()
        session = await open_story(entries[1], 600)
        await trio.sleep(1)
        with check.assertRaises(EgretError) as refused:
            api.check_open()
        check.assertIs(refused.exception.kind, ErrorKind.DRAINING)
        check.assertGreaterEqual(refused.exception.retry_after_s, 1)
        check.assertEqual(listed_entries(entries[1]), ["entry-0"])
        check.assertEqual(await read_all(session), list(range(601)))
        await entries[1].stopped.wait()


async def test_an_entry_that_has_closed_takes_over_no_session_but_serves_its_own():
    # The answers that callers keep have expired and a leaving entry waits for its last session. A
    # caller comes with a session of another entry: if that were taken over, it would delay the end
    # by a whole generation, and the next caller again. A session that is served here must be let
    # in.
    async with open_small_deployment(entries=2) as (_, entries):
        other = await open_story(entries[0], 600)
        entries[1].kernel.begin_drain()
        host = entries[1].kernel.get(SessionHost)
        contract = contract_of(entries[1])
        await trio.sleep(ANSWER_TTL_S + LEAVING_PROPAGATION_S - 0.5)
        own = await open_story(entries[1], 600)
        await trio.sleep(1)
        with check.assertRaises(EgretError) as refused:
            await host.pick_up(contract, other.id, -1)
        check.assertIs(refused.exception.kind, ErrorKind.DRAINING)
        check.assertGreaterEqual(refused.exception.retry_after_s, 1)
        check.assertEqual(listed_entries(entries[1]), ["entry-0"])
        check.assertIs(await host.pick_up(contract, own.id, -1), own)
        check.assertEqual(await read_all(own), list(range(601)))
        await entries[1].stopped.wait()


async def test_a_last_entry_that_is_leaving_still_lists_itself():
    async with open_small_deployment(entries=1) as (_, entries):
        entries[0].kernel.begin_drain()
        await trio.sleep(PROPAGATION_S)
        check.assertEqual(listed_entries(entries[0]), ["entry-0"])


async def test_a_very_long_stream_outlasts_a_drain_and_a_second_order_to_stop():
    # An entry is stopped twice while a session of tens of thousands of tokens is in progress. The
    # caller must get every token; no time limit may cut it.
    async with open_small_deployment(entries=2, engines=1) as (deployment, entries):
        body = GenerationBody(ModelName("story"), "a story tokens:20000", True, 20_000)
        host = entries[0].kernel.get(SessionHost)
        session = await host.open(contract_of(entries[0]), body)
        entries[0].kernel.begin_drain()
        await trio.sleep(1)
        entries[0].kernel.begin_drain()
        check.assertEqual(await read_all(session), list(range(20_001)))
        await entries[0].stopped.wait()


async def test_the_others_know_of_a_stop_at_once():
    async with open_small_deployment(entries=3) as (_, entries):
        entries[2].kernel.begin_drain()
        await entries[2].stopped.wait()
        await trio.sleep(1)
        view = entries[0].kernel.get(Membership).views()[InstanceId("entry-2")]
        check.assertIs(view.state, InstanceState.GONE)


async def test_a_killed_entry_is_gone_for_the_others_though_listed():
    async with open_small_deployment(entries=4) as (deployment, entries):
        entries[3].kill()
        await trio.sleep(GONE_DETECTION_S)
        for process in entries[:3]:
            check.assertEqual(
                process.kernel.get(Membership).live_instances(), ("entry-0", "entry-1", "entry-2")
            )
            check.assertNotIn("entry-3", listed_entries(process))


async def test_listeners_are_notified_of_changes_and_of_applied_revisions():
    async with open_small_deployment(entries=3) as (_, entries):
        membership = entries[0].kernel.get(Membership)
        seen, revisions = [], []
        membership.on_change(lambda: seen.append(membership.live_instances()))
        membership.on_peer_revision(lambda peer, revision: revisions.append((peer, revision)))
        entries[1].kernel.get(Membership).set_revision(Revision(41))
        await trio.sleep(1)
        check.assertEqual(revisions, [("entry-1", 41)])
        check.assertEqual(membership.member(InstanceId("entry-1")).host, entries[1].host)
        entries[2].kernel.begin_drain()
        await trio.sleep(PROPAGATION_S)
        check.assertEqual(seen, [("entry-0", "entry-1")])


async def test_the_list_is_read_rarely_and_its_changes_reach_all():
    # Of three entries only one reads the list within its period; the others must still send no
    # requests to a runner that the list has as leaving.
    async with open_small_deployment(entries=3) as (deployment, entries):
        for process in entries[1:]:
            process.access.instance_list = _NoList()
        await trio.sleep(5)
        deployment.set_state("engine-0", MemberState.LEAVING)
        await trio.sleep(2 + PROPAGATION_S)
        for process in entries:
            check.assertEqual(usable(process), {"engine-1"})


class _NoList:
    async def members(self):
        await trio.sleep_forever()


async def test_a_runner_listed_as_leaving_gets_no_new_requests_and_runs_on():
    async with open_small_deployment(entries=2) as (deployment, entries):
        session = await open_story(entries[0], 400)
        await trio.sleep(1)
        runner = engine_of_session(deployment)
        deployment.set_state(runner, MemberState.LEAVING)
        await trio.sleep(2 + PROPAGATION_S)
        for process in entries:
            check.assertNotIn(runner, usable(process))
            check.assertIsNotNone(process.kernel.get(Runners).engine(RunnerId(runner)))
        check.assertEqual(await read_all(session), list(range(401)))
        deployment.set_state(runner, MemberState.LIVE)
        await trio.sleep(2 + PROPAGATION_S)
        check.assertIn(runner, usable(entries[1]))


def engine_of_session(deployment):
    """Return the id of the engine that holds a generation."""
    return next(name for name, one in deployment.engine_by_id.items() if one.live.by_id)


async def test_a_runner_whose_report_says_leaving_gets_no_new_requests_anywhere():
    # The engine's own report says that it is leaving, before the list does. One entry does not read
    # that engine's reports at all; it learns it through the heartbeats.
    async with open_small_deployment(entries=2) as (deployment, entries):
        entries[1].kernel.get(Runners).choose_reports(_NoReports())
        deployment.engine_by_id["engine-0"].live.leaving = True
        await trio.sleep(PROPAGATION_S)
        check.assertEqual([usable(one) for one in entries], [{"engine-1"}, {"engine-1"}])
        await trio.sleep(400)
        check.assertEqual([usable(one) for one in entries], [{"engine-1"}, {"engine-1"}])
        deployment.engine_by_id["engine-0"].live.leaving = False
        await trio.sleep(PROPAGATION_S)
        check.assertEqual(usable(entries[0]), {"engine-0", "engine-1"})
        check.assertEqual(usable(entries[1]), {"engine-0", "engine-1"})


class _NoReports:
    def choose(self, runners):
        return set()


async def test_a_runner_that_stops_answering_gets_no_new_requests_until_it_answers():
    async with open_small_deployment(entries=1) as (deployment, entries):
        deployment.engine_by_id["engine-0"].faults.dead = True
        await trio.sleep(4)
        check.assertEqual(usable(entries[0]), {"engine-1"})
        deployment.engine_by_id["engine-0"].faults.dead = False
        await trio.sleep(1)
        check.assertEqual(usable(entries[0]), {"engine-0", "engine-1"})


async def test_one_missed_report_removes_no_runner():
    async with open_small_deployment(entries=1) as (deployment, entries):
        events = []
        entries[0].kernel.get(Runners).on_event(events.append)
        events.clear()
        deployment.engine_by_id["engine-0"].faults.dead = True
        await trio.sleep(1)
        deployment.engine_by_id["engine-0"].faults.dead = False
        await trio.sleep(3)
        check.assertEqual({type(one).__name__ for one in events}, {"RunnerReported"})


async def test_an_operators_order_reaches_every_entry_for_engines_and_plain_services():
    async with open_small_deployment(entries=3) as (_, entries):
        membership = entries[0].kernel.get(Membership)
        membership.publish_runner_notice(RunnerId("engine-1"), True, for_good=True)
        membership.publish_runner_notice(RunnerId("holds-0"), True, for_good=True)
        await trio.sleep(PROPAGATION_S)
        for process in entries:
            check.assertEqual(usable(process), {"engine-0"})
            check.assertEqual(process.kernel.get(Runners).plain("holds"), [])
        entries[2].kernel.get(Membership).publish_runner_notice(
            RunnerId("holds-0"), False, for_good=True
        )
        await trio.sleep(PROPAGATION_S)
        check.assertEqual(len(entries[0].kernel.get(Runners).plain("holds")), 1)


async def test_an_entry_reads_a_bounded_number_of_load_reports():
    async with open_world() as deployment:
        await deployment.configure(contract__acme=CONTRACT, service__llm=ENGINES)
        for number in range(60):
            deployment.add_engine(f"engine-{number}", "llm", ("story",), EngineParameters())
        process = await deployment.start("entry-0", Program.ENTRY)
        await trio.sleep(3)
        events = []
        process.kernel.get(Runners).on_event(events.append)
        check.assertEqual(len(events), 60)
        events.clear()
        await trio.sleep(10)
        reports = [one for one in events if type(one).__name__ == "RunnerReported"]
        check.assertLessEqual(len(reports), 22)
        check.assertGreaterEqual(len(reports), 18)
        await trio.sleep(30)
        reports = [one for one in events if type(one).__name__ == "RunnerReported"]
        check.assertEqual(len({one.runner_id for one in reports}), 32)
        counts = Counter(one.runner_id for one in reports)
        check.assertLessEqual(max(counts.values()) - min(counts.values()), 1)


async def test_a_runner_that_refuses_connections_is_detected_before_its_next_reading():
    # Many engines share the readings, so the next reading of each is far off, here by half an hour.
    # One dies while it runs a session: the caller's answer is restarted on another, and the dead
    # one must get no requests after a few seconds, or every caller sent there would wait.
    async with open_world() as deployment:
        await deployment.configure(contract__acme=CONTRACT, service__llm=ENGINES)
        for number in range(30):
            deployment.add_engine(f"engine-{number}", "llm", ("story",), EngineParameters())
        process = await deployment.start("entry-0", Program.ENTRY)
        await trio.sleep(20)
        process.kernel.get(Runners)._schedule._gap_s = 60.0
        session = await open_story(process, 30, stream=False)
        await trio.sleep(0.1)
        name = engine_of_session(deployment)
        deployment.engine_by_id[name].faults.dead = True
        deployment.engine_by_id[name].faults.wake()
        await session.wait_for_end()
        await trio.sleep(PROPAGATION_S)
        check.assertNotIn(name, usable(process))
        check.assertEqual(session.outcome.output_tokens, 30)


async def test_a_link_that_drops_all_messages_is_replaced():
    # Something between two instances has dropped their connection: what is sent over it is lost
    # without an error, while new connections work. Heartbeats over the old one get no answer; it
    # must be closed and replaced before the other end counts as gone.
    async with open_small_deployment(entries=2) as (deployment, entries):
        await trio.sleep(25)
        ports = [process.kernel.get(PeerPort) for process in entries]
        before = [port._accepted for port in ports]
        deployment.network.silence_open_streams()
        states = set()
        for _ in range(150):
            await trio.sleep(0.1)
            for process in entries:
                views = process.kernel.get(Membership).views()
                states |= {view.state for view in views.values()}
        check.assertEqual(states, {InstanceState.LIVE})
        # The old links are of no use, and must not occupy places for good.
        await trio.sleep(IDLE_LINK_S + 5)
        check.assertEqual([port._accepted for port in ports], before)


async def test_one_peer_cannot_take_every_link():
    async with open_small_deployment(entries=2) as (deployment, entries):
        host, port = entries[0].host, 9200
        access = entries[1].access

        async def opener():
            return await deployment.network.connect(entries[1].host, host, port)

        links = [
            await connect_peer(opener, access.peer_keys, InstanceId("entry-1")) for _ in range(20)
        ]
        await trio.sleep(1)
        check.assertEqual(len(links), 20)
        check.assertLessEqual(entries[0].kernel.get(PeerPort)._accepted, 8)


async def test_an_outage_of_the_list_keeps_the_known_state():
    async with open_small_deployment(entries=3) as (deployment, entries):
        deployment.listed.down = True
        await trio.sleep(60)
        check.assertEqual(len(entries[0].kernel.get(Membership).live_instances()), 3)
        check.assertEqual(usable(entries[0]), {"engine-0", "engine-1"})
        check.assertEqual(len(entries[0].kernel.get(Instances).all_members()), 6)


async def test_an_address_that_others_cannot_use_is_rejected_at_the_start():
    async with open_small_deployment(entries=1) as (_, entries):
        sections = {
            "instance": {
                "id": "entry-x",
                "zone": "a",
                "operator_address": "10.0.0.9:9100",
                "peer_address": "0.0.0.0:9200",
            },
            "sessions": {"key_file": "unused"},
            "platform": {"object_api": "http://unused"},
            "caller": {"address": "10.0.0.9:8080"},
        }
        kernel = Kernel(schema_for(Program.ENTRY).check("entry-x", sections))
        with check.assertRaises(UserError):
            Membership(kernel)
