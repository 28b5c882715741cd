"""News of the fleet where datagrams are lost: what goes out again, and how soon all know."""

import random
from enum import Enum

from egretstack.fleet import (
    REPEAT_AFTER_S,
    ApplyResult,
    HeldVersion,
    UpdateFollower,
)
from egretstack.fleet._news import ACK_TIMEOUT_S
from egretstack.ids import InstanceId
from egretstack.messages import encode
from tests.news_fixtures import (
    DATAGRAM_HEADERS,
    INSTANCES,
    OTHER,
    REPORT_S,
    deliver_all,
    fleet_rows,
    message_with,
    publisher,
)
from tests.support import check, tests_of

load_tests = tests_of(globals())


def test_what_was_lost_is_told_again_and_nothing_after_it_is_used():
    # A runner's notice is lost on the way. The next news says what it builds on: they change
    # nothing, and the report after them brings both.
    home, follower = publisher(), UpdateFollower()
    home.replace_rows({"ra": ["ready"]})
    deliver_all(home, follower)
    home.replace_rows({"ra": ["leaving"]})
    home.record_held(OTHER, follower.held)
    home.parts_for(1.0, OTHER)
    home.replace_rows({"ra": ["leaving"], "rb": ["ready"]})
    (part,) = home.parts_for(1.01, OTHER)
    check.assertIs(follower.apply(message_with(home, part)), ApplyResult.GAP)
    check.assertEqual(follower.rows.rows(), {"ra": ["ready"]})
    check.assertFalse(home.is_behind(1.02, OTHER))
    home.record_held(OTHER, follower.held, missed=follower.missed)
    check.assertTrue(home.is_behind(1.02, OTHER))
    check.assertIs(deliver_all(home, follower), ApplyResult.WHOLE)
    check.assertEqual(follower.rows.rows(), {"ra": ["leaving"], "rb": ["ready"]})


def test_what_was_lost_is_told_again_while_other_rows_change():
    # A notice is lost, and the instance that misses it cannot say so. Rows go on changing ten times
    # a second, and each change is told; the lost one goes out again all the same.
    home, follower = publisher(), UpdateFollower()
    home.replace_rows({"ra": ["ready"]})
    home.record_held(OTHER, HeldVersion())
    home.parts_for(0.0, OTHER)
    told = []
    for step in range(1, 6):
        home.replace_rows({"ra": ["ready"], "ib": [step]})
        (part,) = home.parts_for(step / 10, OTHER)
        told.append(part.base)
        taken = follower.apply(message_with(home, part))
    check.assertEqual(told[0], 1)
    check.assertIn(0, told)
    check.assertIs(taken, ApplyResult.WHOLE)


def test_urgent_news_go_out_once_more_to_whoever_has_not_reported_them():
    # A runner's notice is lost on the way to one instance. It is sent there again 50 ms later, and
    # not to the other one, whose report came meanwhile.
    home, follower = publisher(), UpdateFollower()
    home.replace_rows({"ra": ["ready"]})
    deliver_all(home, follower)
    home.record_held(OTHER, follower.held)
    before = home.rows.version
    home.replace_rows({"ra": ["leaving"]})
    home.parts_for(1.0, OTHER)
    home.mark_urgent(before)
    (part,) = home.urgent_parts_for(OTHER)
    check.assertIs(follower.apply(message_with(home, part)), ApplyResult.WHOLE)
    check.assertEqual(follower.rows.rows(), {"ra": ["leaving"]})
    home.record_held(OTHER, follower.held)
    check.assertEqual(home.urgent_parts_for(OTHER), [])


def test_two_notices_at_short_intervals_both_go_out_once_more():
    # A second runner leaves before the first notice was repeated, and both datagrams to one
    # instance are lost. The repeat brings both: one that built on the first would be of no use.
    home, follower = publisher(), UpdateFollower()
    home.replace_rows({"ra": ["ready"], "rb": ["ready"]})
    deliver_all(home, follower)
    home.record_held(OTHER, follower.held)
    rows = {"ra": ["ready"], "rb": ["ready"]}
    for key in rows:
        before = home.rows.version
        rows = rows | {key: ["leaving"]}
        home.replace_rows(rows)
        home.mark_urgent(before)
        home.parts_for(1.0, OTHER)
    (part,) = home.urgent_parts_for(OTHER)
    check.assertIs(follower.apply(message_with(home, part)), ApplyResult.WHOLE)
    check.assertEqual(follower.rows.rows(), rows)
    home.urgent_repeated()
    check.assertEqual(home.urgent_parts_for(InstanceId("entry-9")), [])


def test_a_report_after_the_answer_time_shows_what_was_lost():
    home, follower = publisher(), UpdateFollower()
    home.replace_rows({"ra": ["ready"]})
    home.parts_for(1.0, OTHER)
    home.record_held(OTHER, follower.held)
    check.assertFalse(home.is_behind(1.0 + 0.9 * ACK_TIMEOUT_S, OTHER))
    check.assertTrue(home.is_behind(1.0 + 1.1 * ACK_TIMEOUT_S, OTHER))


def test_a_report_that_crosses_news_is_not_answered():
    # Rows change again and again. A report that left before the last of it came shows only what was
    # before; sending that once more to each of a large fleet would double the bytes.
    home, follower = publisher(), UpdateFollower()
    for step in range(1, 4):
        home.replace_rows({"ia": [step]})
        home.parts_for(step / 10, OTHER)
    home.record_held(OTHER, HeldVersion(home.epoch, 2))
    check.assertFalse(home.is_behind(0.3 + 0.5 * ACK_TIMEOUT_S, OTHER))
    check.assertTrue(home.is_behind(0.3 + 1.1 * ACK_TIMEOUT_S, OTHER))
    check.assertIs(deliver_all(home, follower), ApplyResult.WHOLE)


def test_a_leaving_runner_is_known_to_all_before_its_notice_ends():
    # Streams are lost at runners that announce their end 1.5 to 2 s before it, where an instance
    # hears of that too late. Played: 195 instances, a home on a link of 200 Mbit/s, one datagram in
    # fifty lost, 18 runners that leave at the same moment. With whole lists to everybody half of
    # the instances heard 2.10 s late (a played day of that size); here all but those whose
    # datagram was lost hear at once, and these with the answer to a later report.
    # The aim is 99 in 100 within 0.15 s and all within 0.5 s, also from a link of 20 Mbit/s.
    for bits_per_s in (200e6, 20e6):
        lags_s = sorted(_lags_of_a_notice(bits_per_s))
        check.assertLess(lags_s[int(0.99 * len(lags_s))], 0.15)
        check.assertLess(lags_s[-1], 0.5)


class _Telling(Enum):
    """Why the home sends something to an instance."""

    FIRST = "first"
    REPEAT = "repeat"
    REPORT = "report"


def _lags_of_a_notice(bits_per_s, loss=0.02):
    """Give how long after the home each instance knows of 18 leaving runners, in seconds."""
    rng = random.Random(5)
    home = publisher()
    names = [InstanceId(f"e-{number}") for number in range(INSTANCES)]
    followers = {name: UpdateFollower() for name in names}
    home.replace_rows(fleet_rows())
    for name, follower in followers.items():
        home.record_held(name, HeldVersion())
        for part in home.parts_for(-9.0, name):
            follower.apply(message_with(home, part))
        home.record_held(name, follower.held)
    rows = fleet_rows()
    for number in range(18):
        rows[f"ri-{number:010x}"][6] = "leaving"
    before = home.rows.version
    home.replace_rows(rows)
    known_s, now_s = {}, 0.0
    # At once to all, and once more to those that have not reported it; then to each when its
    # report, 0.25 s later at most, shows that it lags.
    home.mark_urgent(before)
    due = [(0.0, name, _Telling.FIRST) for name in names]
    due += [(REPEAT_AFTER_S, name, _Telling.REPEAT) for name in names]
    reports = [(t + rng.random() * REPORT_S, name) for t in (0, 0.25, 0.5) for name in names]
    due += [(moment_s, name, _Telling.REPORT) for moment_s, name in reports]
    for moment_s, name, telling in sorted(due, key=lambda one: one[:2]):
        now_s = max(now_s, moment_s)
        if telling is _Telling.REPORT:
            home.record_held(name, followers[name].held)
            parts = home.parts_for(now_s, name) if home.is_behind(now_s, name) else []
        elif telling is _Telling.REPEAT:
            parts = home.urgent_parts_for(name)
        else:
            parts = home.parts_for(now_s, name)
        for part in parts:
            message = message_with(home, part)
            now_s += 8 * (len(encode(message)) + DATAGRAM_HEADERS) / bits_per_s
            if rng.random() >= loss and followers[name].apply(message) is ApplyResult.WHOLE:
                known_s.setdefault(name, now_s)
    return [known_s[name] for name in names]
