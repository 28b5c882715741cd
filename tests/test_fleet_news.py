"""Versioned updates of the fleet: losses, restarts, a new home, and a leaving runner."""

import zlib
from dataclasses import replace

import msgpack
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from egretstack.fleet import (
    ApplyResult,
    FleetNews,
    HeldVersion,
    UpdateFollower,
    UpdateReplica,
    instance_row,
    runner_row,
)
from egretstack.fleet._news import MAX_REMOVED, unpack_changes
from egretstack.ids import InstanceId
from egretstack.messages import MessageError, decode, encode
from egretstack.services.fleet_news import FleetUpdatesService
from egretstack.services.fleet_port import FleetPort
from tests.fleet_fixtures import known_instance, runner
from tests.news_fixtures import (
    INSTANCES,
    MAX_DATAGRAM,
    OTHER,
    deliver_all,
    fleet_rows,
    message_with,
    publisher,
)
from tests.platform_site import platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())


def test_a_new_instance_gets_everything_and_then_what_changes():
    home, follower = publisher(), UpdateFollower()
    home.replace_rows(fleet_rows())
    check.assertIs(deliver_all(home, follower), ApplyResult.WHOLE)
    check.assertEqual(follower.rows.rows(), fleet_rows())
    rows = fleet_rows(instances=INSTANCES - 1)
    home.replace_rows(rows)
    home.record_held(OTHER, follower.held)
    (part,) = home.parts_for(1.0, OTHER)
    check.assertLess(len(part.packed), 60)
    check.assertIs(follower.apply(message_with(home, part)), ApplyResult.WHOLE)
    check.assertEqual(follower.rows.rows(), rows)


def test_no_datagram_takes_more_than_one_packet():
    home = publisher()
    home.replace_rows(fleet_rows(420, 1_700))
    sizes = [len(encode(message_with(home, part))) for part in home.parts_for(0.0, OTHER)]
    check.assertLessEqual(max(sizes), MAX_DATAGRAM)


def test_an_update_without_changes_costs_the_same_at_any_size():
    # An instance on a link of 10 Mbit/s gets as many bytes in a fleet of 300 as in one of 30.
    sizes = set()
    for instances in (30, 100, 300):
        home, follower = publisher(), UpdateFollower()
        home.replace_rows(fleet_rows(instances))
        deliver_all(home, follower)
        home.record_held(OTHER, follower.held)
        (part,) = home.parts_for(1.0, OTHER)
        check.assertEqual(part.packed, b"")
        sizes.add(len(encode(message_with(home, part))))
    check.assertLess(max(sizes), min(sizes) + 8)


def test_a_new_home_continues_the_versions_of_the_former_one():
    # The home dies. The next in line has the same rows; each of 195 instances needs only the rows
    # that differ, and not all of them at once.
    former, successor, follower = publisher(), UpdateFollower(), UpdateFollower()
    former.replace_rows(fleet_rows())
    deliver_all(former, successor)
    deliver_all(former, follower)
    home = publisher(9, successor.held, successor.rows)
    rows = fleet_rows(INSTANCES - 1)
    home.replace_rows(rows)
    home.record_held(OTHER, follower.held)
    parts = home.parts_for(1.0, OTHER)
    check.assertLess(sum(len(part.packed) for part in parts), 60)
    check.assertIs(follower.apply(message_with(home, parts[0])), ApplyResult.WHOLE)
    check.assertEqual(follower.rows.rows(), rows)
    check.assertEqual(follower.held, HeldVersion(9, home.rows.version))


def test_what_a_new_home_never_received_is_dropped():
    # The former home sent this instance more than its successor. The successor's version numbers do
    # not show the difference, so everything is sent again.
    former, successor, follower = publisher(), UpdateFollower(), UpdateFollower()
    former.replace_rows({"ia": [1]})
    deliver_all(former, successor)
    former.replace_rows({"ia": [1], "ib": [2]})
    deliver_all(former, follower)
    home = publisher(9, successor.held, successor.rows)
    home.replace_rows({"ia": [1], "ic": [3]})
    check.assertIs(deliver_all(home, follower), ApplyResult.WHOLE)
    check.assertEqual(follower.rows.rows(), {"ia": [1], "ic": [3]})
    check.assertIn("ib", follower.pop_changed())


def test_a_restarted_home_starts_over():
    follower = UpdateFollower()
    before = publisher()
    before.replace_rows(fleet_rows(3))
    deliver_all(before, follower)
    again = publisher(8)
    again.replace_rows(fleet_rows(2))
    check.assertIs(deliver_all(again, follower), ApplyResult.WHOLE)
    check.assertEqual(follower.rows.rows(), fleet_rows(2))


def test_an_instance_that_was_home_follows_the_next_one():
    own = publisher(5)
    own.replace_rows({"ia": [1]})
    follower = UpdateFollower()
    follower.adopt(own)
    check.assertEqual(follower.held, HeldVersion(5, 1))
    home = publisher(6)
    home.replace_rows({"ib": [1]})
    check.assertIs(deliver_all(home, follower), ApplyResult.WHOLE)
    check.assertEqual(follower.rows.rows(), {"ib": [1]})


def test_two_successors_of_one_home():
    # An instance takes itself for home for a moment, as another successor of the same home does,
    # and then follows that one. Its own versions must not be mistaken for those of the former home:
    # a runner that was sent meanwhile would never be known here.
    former, successor, own = publisher(), UpdateFollower(), UpdateReplica(lambda: 11)
    former.replace_rows({"ra": [1]})
    deliver_all(former, own.follow())
    former.replace_rows({"ra": [1], "rb": [2]})
    deliver_all(former, successor)
    own.lead().replace_rows({"ra": [3], "rc": [4], "rd": [5]})
    check.assertEqual(own.held, HeldVersion(11, 4))
    home = publisher(9, successor.held, successor.rows)
    home.replace_rows({"ra": [1], "rb": [2], "re": [6]})
    home.record_held(OTHER, own.held)
    for part in home.parts_for(0.0, OTHER):
        own.follow().apply(message_with(home, part))
    check.assertEqual(own.follow().rows.rows(), home.rows.rows())


def test_removed_rows_are_dropped_in_the_end():
    home, follower = publisher(), UpdateFollower()
    for number in range(MAX_REMOVED + 10):
        home.replace_rows({f"i{number}": [0], "ia": [0]})
        if number == 5:
            deliver_all(home, follower)
    check.assertLess(len(home.rows), MAX_REMOVED)
    check.assertIs(deliver_all(home, follower), ApplyResult.WHOLE)
    check.assertEqual(follower.rows.rows(), home.rows.rows())


def test_invalid_packed_changes_are_rejected():
    good = zlib.compress(msgpack.packb([[1, "ia", [1]]]))
    for packed in (
        b"x",
        good[:-3],
        zlib.compress(bytes(200_000)),
        zlib.compress(msgpack.packb(4)),
        zlib.compress(msgpack.packb([[1, "a"]])),
        zlib.compress(msgpack.packb([["1", "a", None]])),
        zlib.compress(msgpack.packb([[1, "a", 3]])),
        zlib.compress(msgpack.packb([[1, "a" * 300, None]])),
        zlib.compress(msgpack.packb([[1, "", None]])),
    ):
        with check.assertRaises(MessageError):
            unpack_changes(packed)
    check.assertEqual(unpack_changes(good), [(1, "ia", [1])])


_rows = st.dictionaries(st.sampled_from("abcdef"), st.lists(st.integers(0, 2), max_size=1))
_step = st.tuples(_rows, st.lists(st.integers(0, 9), max_size=4), st.booleans())


@settings(derandomize=True)
@given(st.lists(_step, max_size=20))
def test_any_losses_duplicates_and_orders_give_a_state_that_was(steps):
    # Datagrams get lost, duplicated, delayed and reordered, and a home restarts. With a state that
    # never was, an instance would send requests to a runner that has left, or refuse them with
    # runners free.
    home, follower, sent, states = publisher(), UpdateFollower(), [], {(0, 0): {}, (7, 0): {}}
    for number, (rows, arrivals, restarts) in enumerate(steps):
        if restarts and number % 5 == 0:
            home = publisher(100 + number)
            states[home.epoch, 0] = {}
        home.replace_rows(rows)
        states[home.epoch, home.rows.version] = rows
        home.record_held(OTHER, follower.held)
        sent += [message_with(home, part) for part in home.parts_for(float(number), OTHER)]
        for arrival in arrivals:
            if arrival < len(sent):
                follower.apply(sent[-1 - arrival])
        held = follower.held
        check.assertEqual(follower.rows.rows(), states[held.epoch, held.version])
    check.assertIs(deliver_all(home, follower), ApplyResult.WHOLE)
    check.assertEqual(follower.rows.rows(), home.rows.rows())


@on_real_clock
async def test_rows_are_never_sent_with_a_later_revision_than_theirs():
    # A home has read that a runner is missing and has not sent it yet, when a report shows that its
    # sender lacks something. That sender gets the rows as they were sent last: with the new
    # revision they would count as the new list, and a home that has just started would send that
    # all runners are missing.
    async with platform_site(entries=2, plain=2) as site:
        ports = [one.get(FleetPort) for one in site.kernels]
        await site.until(lambda: sum(one.is_home() for one in ports) == 1)
        (home,) = [one for one in site.kernels if one.get(FleetPort).is_home()]
        await site.until(lambda: home.get(FleetUpdatesService)._sources.runners_revision > 0)
        (other,) = [one for one in site.kernels if one is not home]
        port, service = home.get(FleetPort), home.get(FleetUpdatesService)
        sent = []
        port.send_encoded = lambda address, data: sent.append(decode(msgpack.unpackb(data)))
        before = service._sources.runners_revision
        runners = list(port.runners.by_id.values())[:1]
        now_s = trio.current_time()
        port.runners.apply_reading(now_s, runners, port.runners.revision + 7, now_s)
        report = other.get(FleetPort)._own_report()
        service._on_report(InstanceId(other.settings.instance), replace(report, held=[0, 0, True]))
        check.assertEqual({one.runners_revision for one in sent}, {before})
        keys = {row.key for one in sent for row in unpack_changes(one.rows)}
        check.assertEqual(len([key for key in keys if key.startswith("ri-desk")]), 2)


@on_real_clock
async def test_invalid_updates_end_no_process():
    # Anyone who reaches the port may send anything. Rows that are no runner, invalid flags and
    # versions out of order are rejected with a log line; the instance goes on as before.
    async with platform_site(entries=1, plain=1) as site:
        kernel = site.kernels[0]
        port = kernel.get(FleetPort)
        row = [*instance_row(known_instance(9, strength=60))]
        rows = [[[1, "rx", [1, 2]]], [[1, "ix", []]], [[1, "r", [*runner_row(runner("a")), "x"]]]]
        for number, changes in enumerate(rows):
            packed = zlib.compress(msgpack.packb(changes))
            update = FleetNews(row, 50 + number, 0, 0, 0, 1, 1, packed, 1, 0, 1, 0, 1, [3])
            port.send(port.fleet.own.instance.peer_address, update)
        bad = FleetNews(row, 60, 0, 0, 5, 1, 0, b"", 1, 0, 1, 0, 1, [])
        port.send(port.fleet.own.instance.peer_address, bad)
        await trio.sleep(0.1)
        head, _ = await site.call("/notes/1", "r-1")
        check.assertEqual(head.status, 200)
