"""A new home without its predecessor's rows: what only a home knows is not lost."""

from contextlib import contextmanager
from dataclasses import replace
from unittest.mock import patch

import trio

from egretstack.fleet import REPORT_PERIOD_S, FleetNews, HeldRows, instance_row
from egretstack.fleet._former_rows import KEEP_S
from egretstack.fleet._messages import MAX_ROWS
from egretstack.fleet._news import pack_changes
from egretstack.fleet._versioned_rows import RowChange
from egretstack.ids import InstanceId, RunnerId
from egretstack.placing import TYPICAL, AnswerCount, EngineSpeed, speed_row
from egretstack.services.engine_reports import PERIOD_S, EngineReports
from egretstack.services.engine_speeds import SPEED
from egretstack.services.fleet_news import FleetUpdatesService
from egretstack.services.fleet_port import FleetPort
from egretstack.services.placing_home import PlacingHome
from egretstack.services.runner_strikes import RunnerStrikes
from tests.fleet_fixtures import known_instance
from tests.platform_site import WAIT_S, platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

PREFERRED_MBPS = 4_000.0
"""A faster link than the other instances have: the instance is preferred as home."""
SLOWER_MBPS = 10.0
"""A slower link than the other instances have."""
SLOW = EngineSpeed(2.0, 1.5)
UNRESPONSIVE_AFTER_S = PERIOD_S
"""Least time in which a home finds by itself that an engine does not answer."""
LOST_S = 1.0
"""How long a new instance gets no updates."""


def speed_at(kernel, runner):
    return kernel.get(PlacingHome).placer.registry.speeds.speed(runner)


def knows_all(kernels, slow):
    """Return whether all instances know an engine as slow."""
    return all(speed_at(one, slow) == SLOW for one in kernels)


def is_home(kernel):
    return kernel.get(FleetPort).is_home()


def home_of(kernels):
    """Return the first instance that takes itself for the home."""
    return next(filter(is_home, kernels))


def follow_same_home(kernels, home):
    """Return whether all instances take one for the home."""
    now_s = trio.current_time()
    homes = {one.get(FleetPort).fleet.home(now_s) for one in kernels}
    return homes == {home.settings.instance}


class LostUpdates:
    """Drops updates of the home to instances that start, and other messages once."""

    def __init__(self):
        self.until_s_by_instance = {}
        self.held_rows_lost = 0
        """How many messages with a former home's rows are still to be lost."""
        self._on_update = FleetUpdatesService._on_update
        self._on_held_rows = FleetUpdatesService._on_held_rows

    def deliver(self, service, update):
        """Deliver an update that is not lost."""
        self._on_update(service, update, ("", 0))

    def _deliver_update(self, service, update, sender):
        until_s = self.until_s_by_instance.get(service.kernel.settings.instance, 0.0)
        if trio.current_time() >= until_s:
            self._on_update(service, update, sender)

    def _deliver_held_rows(self, service, message, sender):
        if self.held_rows_lost:
            self.held_rows_lost -= 1
        else:
            self._on_held_rows(service, message, sender)

    @contextmanager
    def installed(self):
        """Lose messages as long as the context lasts."""
        methods = {
            "_on_update": lambda *call: self._deliver_update(*call),
            "_on_held_rows": lambda *call: self._deliver_held_rows(*call),
        }
        with patch.multiple(FleetUpdatesService, **methods):
            yield


async def make_engine_slow(site):
    """Make the home of a site know one engine as slow, and wait until all know it; return it."""
    await site.until(lambda: sum(map(is_home, site.kernels)) == 1)
    await site.until(lambda: follow_same_home(site.kernels, home_of(site.kernels)))
    slow = RunnerId(site.engines[0].runner_id)
    home_of(site.kernels).get(PlacingHome).placer.registry.speeds.apply({slow: SLOW})
    await site.until(lambda: knows_all(site.kernels, slow))
    return slow


async def start_late(site, number, lost, lost_s=LOST_S, link_mbps=PREFERRED_MBPS):
    """Start an instance that at first gets no updates; by default it is preferred as home."""
    lost.until_s_by_instance[f"entry-{number}"] = trio.current_time() + lost_s
    return await site.start_entry(number, link_mbps=link_mbps)


async def check_kept(kernels, home, slow):
    """Check that all know the slow engine under a new home, and still do after some time."""
    await until(lambda: follow_same_home(kernels, home))
    await until(lambda: knows_all(kernels, slow))
    await trio.sleep(KEEP_S + 1.0)
    check.assertTrue(follow_same_home(kernels, home))
    check.assertEqual([speed_at(one, slow) for one in kernels], [SLOW] * len(kernels))


async def until(condition):
    """Wait until a condition holds."""
    with trio.fail_after(WAIT_S):
        while not condition():
            await trio.sleep(0.01)


@on_real_clock
async def test_speeds_outlast_a_new_home_that_got_no_update():
    # Guards against the loss of what only the former home knew, everywhere and for good.
    lost = LostUpdates()
    with lost.installed():
        async with platform_site(entries=2, plain=0, engines=2) as site:
            slow = await make_engine_slow(site)
            new = await start_late(site, 2, lost)
            await check_kept(site.kernels, new, slow)


@on_real_clock
async def test_speeds_that_came_in_part_of_an_update_outlast_the_only_other_instance():
    # Guards against rows that a new home holds and drops, since it never held all.
    lost = LostUpdates()
    with lost.installed():
        async with platform_site(entries=1, plain=0, engines=2) as site:
            slow = await make_engine_slow(site)
            new = await start_late(site, 1, lost, lost_s=WAIT_S, link_mbps=SLOWER_MBPS)
            changes = pack_changes([RowChange(1, f"{SPEED}{slow}", speed_row(SLOW))])
            update = site.kernels[0].get(FleetUpdatesService)._update_template(trio.current_time())
            part = replace(update, base=0, upto=1, latest=2, rows=changes)
            lost.deliver(new.get(FleetUpdatesService), part)
            check.assertNotEqual(speed_at(new, slow), SLOW)
            site.scope_by_instance["entry-0"].cancel()
            await check_kept([new], new, slow)


@on_real_clock
async def test_speeds_outlast_a_home_that_is_killed_before_its_successor_has_them():
    # Guards against rows that only the former home hands over.
    lost = LostUpdates()
    with lost.installed():
        async with platform_site(entries=3, plain=0, engines=2) as site:
            slow = await make_engine_slow(site)
            home = home_of(site.kernels)
            site.scope_by_instance[home.settings.instance].cancel()
            new = await start_late(site, 3, lost)
            await check_kept([one for one in site.kernels if one is not home], new, slow)


@on_real_clock
async def test_speeds_outlast_two_homes_in_short_succession():
    # Guards against rows that the second new home lacks, since the first one lacked them too.
    lost = LostUpdates()
    with lost.installed():
        async with platform_site(entries=2, plain=0, engines=2) as site:
            slow = await make_engine_slow(site)
            await start_late(site, 2, lost)
            await trio.sleep(0.4)
            new = await start_late(site, 3, lost, link_mbps=2 * PREFERRED_MBPS)
            await check_kept(site.kernels, new, slow)


@on_real_clock
async def test_speeds_outlast_lost_messages_to_a_new_home():
    # Guards against rows that are sent to a new home once, in a datagram that is lost.
    lost = LostUpdates()
    lost.held_rows_lost = 2
    with lost.installed():
        async with platform_site(entries=2, plain=0, engines=2) as site:
            slow = await make_engine_slow(site)
            new = await start_late(site, 2, lost)
            await check_kept(site.kernels, new, slow)


@on_real_clock
async def test_a_change_that_the_former_home_did_not_send_yet_is_kept():
    # Guards against the loss of what a home learned between its last update and its replacement.
    async with platform_site(entries=2, plain=0, engines=2) as site:
        await make_engine_slow(site)
        other = RunnerId(site.engines[1].runner_id)
        home = home_of(site.kernels)
        updates = home.get(FleetUpdatesService)
        with patch.object(updates, "_send_lacking", lambda *_: None):
            speeds = home.get(PlacingHome).placer.registry.speeds
            speeds.apply(speeds.by_id() | {other: SLOW})
            new = await start_late(site, 2, LostUpdates())
            await until(lambda: is_home(new))
        await check_kept(site.kernels, new, other)


@on_real_clock
async def test_a_speed_that_the_new_home_withdraws_does_not_come_back():
    # Guards against a former home's rows that replace what the new home has found out since.
    lost = LostUpdates()
    with lost.installed():
        async with platform_site(entries=2, plain=0, engines=2) as site:
            slow = await make_engine_slow(site)
            new = await start_late(site, 2, lost)
            await until(lambda: is_home(new) and speed_at(new, slow) == SLOW)
            await until(lambda: knows_all(site.kernels, slow))
            await trio.sleep(0.3)
            new.get(PlacingHome).placer.registry.speeds.apply({})
            await trio.sleep(KEEP_S + 1.0)
            check.assertEqual([speed_at(one, slow) for one in site.kernels], [TYPICAL] * 3)


async def make_suspect(site):
    """Make the home of a site suspect a plain runner, and wait until all do; return it."""
    await until(lambda: sum(map(is_home, site.kernels)) == 1)
    await until(lambda: follow_same_home(site.kernels, home_of(site.kernels)))
    suspect = RunnerId(site.plain[0].runner_id)
    strikes = home_of(site.kernels).get(RunnerStrikes)._strikes
    counts = [AnswerCount(suspect, 0, 3)]
    strikes.record_report(trio.current_time(), InstanceId("entry-9"), counts)
    await until(lambda: all(suspect in marks_at(one).suspects for one in site.kernels))
    return suspect


def marks_at(kernel):
    return kernel.get(FleetPort).runners


async def check_suspected(site, home, suspect):
    """Check that a runner stays a suspect under a new home while nothing clears it."""
    await until(lambda: follow_same_home(site.kernels, home))
    await until(lambda: suspect in marks_at(home).suspects)
    await trio.sleep(KEEP_S + 1.0)
    check.assertTrue(all(suspect in marks_at(one).suspects for one in site.kernels))


@on_real_clock
async def test_suspects_outlast_their_home():
    # Guards against a new home that clears the runners that its predecessor suspected.
    async with platform_site(entries=2, plain=2) as site:
        suspect = await make_suspect(site)
        new = await site.start_entry(2, link_mbps=PREFERRED_MBPS)
        await check_suspected(site, new, suspect)


@on_real_clock
async def test_suspects_outlast_a_new_home_that_got_no_update():
    # Guards against a runner that breaks calls and gets them again when an instance starts.
    lost = LostUpdates()
    with lost.installed():
        async with platform_site(entries=2, plain=2) as site:
            suspect = await make_suspect(site)
            new = await start_late(site, 2, lost)
            await check_suspected(site, new, suspect)


@on_real_clock
async def test_a_new_home_need_not_find_out_again_which_engines_do_not_answer():
    # Guards against requests to a silent engine in the two seconds that a new home would take.
    silent = RunnerId("i-llm-0")
    request_report = EngineReports._request_report

    async def request(service, engine):
        return None if engine.id == silent else await request_report(service, engine)

    lost = LostUpdates()
    with lost.installed(), patch.object(EngineReports, "_request_report", request):
        async with platform_site(entries=2, plain=0, engines=3) as site:
            await until(lambda: all(silent in marks_at(one).unresponsive for one in site.kernels))
            new = await start_late(site, 2, lost)
            await until(lambda: is_home(new))
            with trio.fail_after(UNRESPONSIVE_AFTER_S):
                await until(lambda: silent in marks_at(new).unresponsive)
                await until(lambda: follow_same_home(site.kernels, new))
            check.assertTrue(all(silent in marks_at(one).unresponsive for one in site.kernels))


@on_real_clock
async def test_invalid_rows_held_of_a_former_home_end_no_new_home():
    # Guards against an error outside the handling of messages, which would end the process.
    async with platform_site(entries=1, plain=1) as site:
        port = site.kernels[0].get(FleetPort)
        sender = instance_row(known_instance(9, strength=60))
        keys = {"bx": [-1], "ri-desk-0": ["x"]}
        changes = [RowChange(number, *item) for number, item in enumerate(keys.items(), 1)]
        update = FleetNews(sender, 50, 0, 0, 0, 2, 3, pack_changes(changes), 1, 0, 1, 0, 1, [])
        port.send(port.fleet.own.instance.peer_address, update)
        await until(lambda: not port.is_home())
        await until(port.is_home)
        await trio.sleep(2 * REPORT_PERIOD_S)
        head, _ = await site.call("/notes/1", "r-1")
        check.assertEqual(head.status, 200)


@on_real_clock
async def test_invalid_rows_of_a_former_home_change_nothing():
    # Guards against a process that ends by a message, and rows that only the home may set.
    async with platform_site(entries=2, plain=1, engines=2) as site:
        slow = await make_engine_slow(site)
        home = home_of(site.kernels)
        (other,) = [one for one in site.kernels if one is not home]
        port = other.get(FleetPort)
        address = home.get(FleetPort).fleet.own.instance.peer_address
        many = {f"{SPEED}e{number}": [200, 150] for number in range(MAX_ROWS + 1)}
        rows = ({"zleon-a": []}, {"ii-9": [1]}, {f"{SPEED}{slow}": [9, 900]}, {"bx": [-1]}, many)
        for one in rows:
            changes = [RowChange(number, *item) for number, item in enumerate(one.items(), 1)]
            port.send(address, HeldRows(other.settings.instance, pack_changes(changes)))
        port.send(address, HeldRows(other.settings.instance, b"x"))
        await trio.sleep(2 * REPORT_PERIOD_S)
        check.assertEqual(home.get(FleetPort).evacuations.zones, frozenset())
        check.assertEqual(home.get(FleetPort).brittle.limited(), {})
        speeds = home.get(PlacingHome).placer.registry.speeds
        check.assertEqual(speeds.by_id(), {slow: SLOW})
        head, _ = await site.call("/notes/1", "r-1")
        check.assertEqual(head.status, 200)
