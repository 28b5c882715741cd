"""Which instances are asked for tunnels."""

import random
from dataclasses import replace

from egretstack.detour import HelperChoice
from egretstack.fleet import InstanceState
from egretstack.ids import RegionName, ZoneName
from tests.fleet_fixtures import known_instance
from tests.support import check, tests_of

load_tests = tests_of(globals())

REGION_BY_ZONE = {
    ZoneName("a"): RegionName("north"),
    ZoneName("b"): RegionName("north"),
    ZoneName("c"): RegionName("south"),
    ZoneName("d"): RegionName("east"),
}


def helper(number, zone, **changes):
    """Return a ready instance of a zone."""
    known = known_instance(number)
    placed = replace(known.instance, zone=ZoneName(zone))
    return replace(known, **{"instance": placed, "state": InstanceState.READY} | changes)


def chosen_ids(choice, live, runner_zone, count=9, now_s=0.0):
    """Return the ids of the helpers that are chosen."""
    return [one.id for one in choice.choose(now_s, live, ZoneName(runner_zone), count)]


def make_choice(own):
    return HelperChoice(own.instance, REGION_BY_ZONE, random.Random(1))


def test_no_instance_that_cannot_help_is_asked():
    # Guards against tunnels through the instance itself, one that leaves, or one that is cut too.
    own, sound = helper(0, "a"), helper(1, "b")
    live = [
        own,
        helper(2, "b", state=InstanceState.LEAVING),
        helper(3, "b", state=InstanceState.STARTING),
        helper(4, "b", reaches_runners=False),
        sound,
    ]
    check.assertEqual(chosen_ids(make_choice(own), live, "b"), [sound.instance.id])


def test_a_body_passes_no_region_but_those_of_its_instance_and_its_runner():
    # Guards against a request bound to regions that passes a third one.
    own = helper(0, "a")
    live = [own, helper(1, "b"), helper(2, "c"), helper(3, "d")]
    check.assertEqual(set(chosen_ids(make_choice(own), live, "b")), {live[1].instance.id})
    both = {live[1].instance.id, live[2].instance.id}
    check.assertEqual(set(chosen_ids(make_choice(own), live, "c")), both)


def test_instances_of_other_zones_are_asked_before_those_of_the_own_zone():
    # Guards against waits for instances of a zone whose links are all cut.
    own = helper(0, "a")
    live = [own, helper(1, "a"), helper(2, "b")]
    ids = [live[2].instance.id, live[1].instance.id]
    check.assertEqual(chosen_ids(make_choice(own), live, "a"), ids)


def test_an_instance_that_could_not_help_is_asked_last_for_a_second():
    # Guards against asking an instance that is cut as well again and again.
    own = helper(0, "a")
    live = [own, helper(1, "b"), helper(2, "b")]
    choice = make_choice(own)
    choice.record_refused(0.0, live[1].instance.id)
    for _ in range(20):
        check.assertEqual(chosen_ids(choice, live, "b", 1, 0.9), [live[2].instance.id])
    firsts = {chosen_ids(choice, live, "b", 1, 1.1)[0] for _ in range(50)}
    check.assertEqual(firsts, {live[1].instance.id, live[2].instance.id})
