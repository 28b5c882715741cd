"""Rows of other writers and of peers that hold what no instance can use or send on."""

import json
import zlib

import msgpack
import trio
from loguru import logger

from egretstack.fleet import (
    FleetNews,
    HeldVersion,
    InstanceReport,
    RunnerState,
    UpdateFollower,
    UpdatePublisher,
    VersionedRows,
    instance_from_row,
    instance_row,
    runner_from_row,
)
from egretstack.messages import MessageError, decode, encode
from egretstack.placing import request_from_row
from egretstack.platform import BadBody, decode_configuration
from egretstack.services.fleet_news import FleetUpdatesService
from egretstack.services.fleet_port import FleetPort
from egretstack.services.store_reading import StoreReading
from standins.platform import KEY, configuration, route, runner_spec
from tests.platform_site import platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

ODD_PORTS = (
    "0",
    "65536",
    "99999999",
    "00080999999",
    "-1",
    " 80",
    "+80",
    "8_0",
    "\u0668\u0660",
)
"""Ports to which no connection can be opened, or that are written as no port is."""
HALF = "bazaar \ud83d"
"""A text that was cut within a character outside of the basic plane."""
ROW = ["i-desk-9", None, "desk", "127.0.0.9:80", "leon-a", 6, RunnerState.READY.value, 0, 0]


def count_errors(site):
    """Return a list to which the kind of each unforeseen error is added."""
    errors = []
    for kernel in site.kernels:
        kernel.unforeseen.on_error(errors.append)
    return errors


async def check_news_spread(site):
    """Check that all entries still hear of runners, and serve calls."""
    site.register("i-last", "desk", "127.9.2.8:8080", state="draining")
    tables = [one.get(FleetPort).runners for one in site.kernels]
    await site.until(lambda: all(any("i-last" in one for one in table.by_id) for table in tables))
    for number in range(len(site.kernels)):
        head, _ = await site.call("/notes/1", f"a-{number}", entry=number)
        check.assertEqual(head.status, 200)


@on_real_clock
async def test_half_a_character_in_a_runner_entry_ends_no_instance():
    # Guards against one entry of another writer that ends the home, since it cannot be sent to the
    # others, and each of its successors, as they read the same entry.
    async with platform_site(entries=3, plain=2) as site:
        address = "127.9.2.9:8080"
        site.register("i-service", HALF, address)
        site.store.put("servers", "i-zone", runner_spec("desk", address, "ready", zone=HALF))
        await check_news_spread(site)
        for kernel in site.kernels:
            check.assertNotIn(
                address, [one.address for one in kernel.get(FleetPort).runners.by_id.values()]
            )


def test_a_row_that_cannot_be_encoded_is_left_out_of_the_others():
    # Guards against one row that keeps all other rows from the whole fleet.
    rows = VersionedRows()
    check.assertTrue(rows.replace_all({"ra": [1], "rb": [HALF], "rc": [1 << 80], "rd": [2]}))
    check.assertEqual(rows.rows(), {"ra": [1], "rd": [2]})
    check.assertEqual(rows.unsendable, {"rb", "rc"})
    check.assertFalse(rows.replace_all({"ra": [1], "rb": [HALF], "rd": [2]}))
    check.assertTrue(rows.replace_all({"ra": [HALF], "rb": ["b"], "rd": [2]}))
    check.assertEqual((rows.rows(), rows.unsendable), ({"rb": ["b"], "rd": [2]}, {"ra"}))
    publisher = UpdatePublisher(lambda: 7, HeldVersion(), rows)
    follower = UpdateFollower()
    for part in publisher.parts_for(0.0, "other"):
        follower.apply(part.fill(news(7, part.upto)))
    check.assertEqual(follower.rows.rows(), {"rb": ["b"], "rd": [2]})


def test_a_row_that_the_others_would_refuse_is_left_out_of_the_updates():
    # Guards against a key or a row too long for the others, which refuse the whole update for it.
    rows = VersionedRows()
    long_key, name = "c" + "x" * 257, "z" + "\u4e2d" * 256
    big = [[f"{number}{'x' * 250}" for number in range(300)]]
    rows.replace_all({"ra": [1], long_key: [], "": [], "pbig": big, name: []})
    check.assertEqual(rows.rows(), {"ra": [1], name: []})
    check.assertEqual(rows.unsendable, {long_key, "", "pbig"})
    check.assertEqual(followed(rows), rows.rows())


def test_rows_that_compress_well_are_sent_in_parts_that_the_others_unpack():
    # Guards against a small datagram with more rows than an instance unpacks.
    rows = VersionedRows()
    text = "\U0001f600" * 256
    rows.replace_all({f"r{one}": [one, text, text] for one in range(40)})
    check.assertEqual(followed(rows), rows.rows())


def followed(rows):
    """Return the rows of an instance that follows a home with these."""
    publisher, follower = UpdatePublisher(lambda: 7, HeldVersion(), rows), UpdateFollower()
    for part in publisher.parts_for(0.0, "other"):
        follower.apply(part.fill(news(7, rows.version)))
    return follower.rows.rows()


@on_real_clock
async def test_a_long_name_in_the_store_keeps_the_others_in_step_with_the_home():
    # Guards against an object whose name makes a key too long, so that no update is read any more.
    async with platform_site(entries=2, plain=2) as site:
        ends = {"i-1": 2, "i-2": 2}
        specs = {
            "evacuations": {},
            "egret-instances": {"zone": "z", "front": "127.9.1.1:80", "peer": "127.9.1.1:81"},
            "egret-crash-records": {"record": [0, ends, True]},
            "egret-crash-parts": {"record": [[[one] for one in ends], False, True, False, []]},
            "servers": runner_spec("x" * 256, "127.9.2.9:8080", zone="x" * 256),
        }
        for kind, spec in specs.items():
            for length in (128, 256, 300):
                site.store.put(kind, "x" * length, spec)
        await check_news_spread(site)
        home, other = sorted(site.kernels, key=lambda one: not one.get(FleetPort).is_home())
        sent, received = (one.get(FleetUpdatesService)._replica for one in (home, other))
        await site.until(lambda: received.held == sent.held)
        check.assertIn("x" * 256, other.get(FleetPort).evacuations.zones)


def news(epoch, latest, rows=b"", home=(), **more):
    """Return an update of a home."""
    values = {
        "home": list(home),
        "epoch": epoch,
        "continued_epoch": 0,
        "continued_version": 0,
        "base": 0,
        "upto": latest,
        "latest": latest,
        "rows": rows,
        "runners_revision": 1 << 40,
        "runners_age_ms": 0,
        "evacuations_revision": 0,
        "evacuations_age_ms": 0,
        "config_version": 0,
        "config_holders": [],
    }
    return FleetNews(**(values | more))


@on_real_clock
async def test_a_row_of_the_home_that_cannot_be_read_is_left_out_of_the_others():
    # Guards against one row, of a home of an earlier build, that keeps an instance from all others.
    async with platform_site(entries=2, plain=1) as site:
        home, other = sorted(site.kernels, key=lambda one: not one.get(FleetPort).is_home())
        site.scope_by_instance[home.settings.instance].cancel()
        service, port = other.get(FleetUpdatesService), other.get(FleetPort)
        sender = home.get(FleetPort).fleet.own
        rows = {
            "rgood": [*ROW, 0],
            "rname": ["i\nx", *ROW[1:], 0],
            "raddress": [*ROW[:3], "nowhere", *ROW[4:], 0],
            "rstate": [*ROW[:6], 99, *ROW[7:], 0],
            "rshort": [1],
            "iother": ["i", "z", "nowhere", "127.0.0.1:99999", 0, 1, 1, 0, True, 0],
            "lgood": ["fast"],
            "cgood": [[], "x"],
            "bgood": [-1],
            "pgood": [7],
            "sgood": [7],
            "mgood": [],
        }
        changes = [[number, key, row] for number, (key, row) in enumerate(rows.items(), 1)]
        packed = zlib.compress(msgpack.packb(changes))
        update = news(99, len(changes), packed, home=instance_row(sender))
        with trio.move_on_after(0.2):
            service._on_update(update, ("127.0.0.1", 1))
        check.assertIn("i-desk-9", [one.incarnation.name for one in port.runners.by_id.values()])
        check.assertNotIn("i", [one.id for one in port.fleet.known_instances()])


def test_addresses_and_names_that_cannot_be_used_are_rejected_with_their_row():
    # Guards against a peer's row whose address ends the instance that sends something there.
    for address in ("nowhere", "127.0.0.1:99999", "127.0.0.1:x", "a b:80", "127.0.0.1:80\0", HALF):
        for row in (
            ["i", "z", address, "127.0.0.1:80", 0, 1, 1, 0, True, 0],
            ["i", "z", "127.0.0.1:80", address, 0, 1, 1, 0, True, 0],
        ):
            with check.assertRaises(MessageError, msg=address):
                instance_from_row(row)
        with check.assertRaises(MessageError, msg=address):
            runner_from_row([*ROW[:3], address, *ROW[4:]])
    for name in ("", "a\r\nb", " a", HALF, 7):
        with check.assertRaises(MessageError, msg=name):
            runner_from_row([name, *ROW[1:]])


@on_real_clock
async def test_a_runner_entry_whose_port_cannot_be_used_fails_no_call():
    # Guards against a port of too many digits, to which connecting raises an error of another kind.
    async with platform_site(entries=2, plain=1) as site:
        errors = count_errors(site)
        for number, port in enumerate(ODD_PORTS):
            site.register(f"i-odd-{number}", "desk", f"127.9.2.9:{port}")
        site.register("i-last", "desk", "127.9.2.8:8080", state="draining")
        for kernel in site.kernels:
            table = kernel.get(FleetPort).runners
            await site.until(lambda table=table: any("i-last" in one for one in table.by_id))
            check.assertNotIn("i-odd", "".join(table.by_id))
        for number in range(20):
            head, _ = await site.call("/notes/1", f"a-{number}", entry=number % 2)
            check.assertEqual(head.status, 200)
        check.assertEqual(errors, [])


@on_real_clock
async def test_an_instance_entry_whose_port_cannot_be_used_keeps_the_home_reading():
    # Guards against a listed instance to which the home's report cannot be sent: the reading of the
    # list failed each time, which ended the process in the end.
    async with platform_site(entries=1) as site:
        errors = count_errors(site)
        for number, port in enumerate(ODD_PORTS):
            spec = {"zone": "z", "front": "127.9.1.1:80", "peer": f"127.9.1.1:{port}"}
            site.store.put("egret-instances", f"i-odd-{number}", spec)
        spec = {"zone": "z", "front": "127.9.1.1:80", "peer": "127.9.1.1:81"}
        site.store.put("egret-instances", "i-last", spec)
        fleet = site.kernels[0].get(FleetPort).fleet
        await site.until(lambda: any(one.id == "i-last" for one in fleet.known_instances()))
        await trio.sleep(0.3)
        check.assertEqual(errors, [])
        check.assertNotIn("i-odd", "".join(one.id for one in fleet.known_instances()))


@on_real_clock
async def test_a_report_with_an_address_that_cannot_be_used_ends_no_instance():
    # Guards against a datagram after which the instance's own reports fail, and with them all.
    async with platform_site(entries=2) as site:
        port = site.kernels[0].get(FleetPort)
        row = instance_row(port.fleet.own)
        for address in ("nowhere", "127.0.0.1:99999", "127.0.0.1:80\0"):
            odd = ["i-odd", *row[1:3], address, *row[4:]]
            report = InstanceReport(
                odd, "i-odd", [0, 0, False], *[[] for _ in range(6)], 0, [], [], []
            )
            for kernel in site.kernels:
                port.send_encoded(kernel.settings.ip + ":7200", encode(report))
        await check_news_spread(site)


@on_real_clock
async def test_rows_of_a_report_that_cannot_be_read_keep_no_others_from_their_use():
    # Guards against a report of which nothing is used since one of its lists cannot be read.
    async with platform_site(entries=2) as site:
        port = site.kernels[0].get(FleetPort)
        other = site.kernels[1].get(FleetPort)
        runner = next(iter(port.runners.by_id))
        lists = [["x"], ["x"], ["x"], ["x"], ["x"], ["x"], 0, [runner], ["x"], ["x"]]
        home = port.fleet.home(trio.current_time())
        odd = InstanceReport(instance_row(other.fleet.own), home, [0, 0, False], *lists)
        port.send_encoded(port.fleet.own.instance.peer_address, encode(odd))
        await site.until(lambda: port.runners.is_leaving(runner))


def test_half_a_character_survives_the_way_through_json():
    # Guards against tests of half characters that hold none.
    check.assertEqual(json.loads(json.dumps(HALF)), HALF)
    with check.assertRaises(UnicodeEncodeError):
        HALF.encode()


@on_real_clock
async def test_half_a_character_in_any_object_of_the_store_ends_no_instance():
    # Guards against the same cause in the other kinds of objects: names, keys, zones and records.
    async with platform_site(entries=2, plain=2) as site:
        specs = {
            "servers": runner_spec("desk", "127.9.2.9:8080"),
            "evacuations": {},
            "egret-instances": {"zone": HALF, "front": "127.9.1.1:80", "peer": "127.9.1.1:81"},
            "egret-crash-records": {"record": [0, [[HALF, 2]], False]},
            "egret-crash-parts": {"record": [[[HALF]], False, True, False, [HALF]]},
        }
        for kind, spec in specs.items():
            site.store.put(kind, HALF, spec)
            site.store.put(kind, f"i-{kind}", spec)
        site.store.forget_history()
        await check_news_spread(site)


@on_real_clock
async def test_a_configuration_that_cannot_be_sent_on_leaves_the_one_before_in_force():
    # Guards against an account, a service or a key whose text ends the process as it is used.
    async with platform_site(entries=2, plain=2) as site:
        good = site.store.spec("config", "main")
        tenant, service = good["tenants"][0], good["services"][1]
        bad = (
            {"tenants": [tenant | {"name": HALF}]},
            {"tenants": [tenant | {"name": "a\r\nx: y"}]},
            {"tenants": [tenant | {"allowed-regions": [HALF]}]},
            {"services": [*good["services"], service | {"name": HALF}]},
            {"services": [good["services"][0], service | {"health-path": "/h\u00e9alth"}]},
            {"services": [good["services"][0], service | {"health-path": "/a b"}]},
        )
        for changes in bad:
            site.version += 1
            site.store.put("config", "main", good | changes | {"version": site.version})
        await trio.sleep(0.5)
        await check_news_spread(site)
        site.version += 1
        keys = {"tenants": [tenant | {"api-keys": [*tenant["api-keys"], HALF]}]}
        site.store.put("config", "main", good | keys | {"version": site.version})
        gates = [one.get(StoreReading).gate for one in site.kernels]
        await site.until(lambda: all(one.version == site.version for one in gates))
        head, _ = await site.call("/notes/1", "after")
        check.assertEqual(head.status, 200)


ODD_FIGURES = {
    ("version",): (-1, 2**63, 1e300),
    ("routes", 0, "timeout-ms"): (-1,),
    ("routes", 0, "target-latency-ms"): (-1, 2**63, 1e300),
    ("routes", 0, "gap-target-ms"): (-1, 2**63, 1e300),
    ("routes", 0, "priority"): (-1e300, 1e300),
    ("tenants", 0, "priority"): (-(2**63), 2**63, 2**64),
    ("services", 0, "engine", "kv-capacity-tokens"): (-1, 1e308),
    ("services", 0, "engine", "kv-token-bytes"): (-1, 1e308),
    ("services", 0, "engine", "stride"): (-1, 2**62, 1e308),
    ("limits", "header-timeout-ms"): (-1,),
    ("limits", "idle-timeout-ms"): (-1,),
}
"""Figures by their place in a configuration, that raise an error where they are used or sent."""


def with_value(document, path, value):
    """Return a copy of a JSON document with another value at a place in it."""
    copy = json.loads(json.dumps(document))
    target = copy
    for step in path[:-1]:
        target = target[step]
    target[path[-1]] = value
    return copy


def test_figures_that_cannot_be_used_or_sent_on_reject_their_configuration():
    # Guards against a version that no report can hold, and times that fail each connection.
    good = configuration(1, [route("notes", "idempotent", "desk")], (KEY,))
    check.assertEqual(decode_configuration(good).version, 1)
    for path, values in ODD_FIGURES.items():
        for value in (*values, float("inf"), float("nan"), "7", [7]):
            if path[0] == "tenants" and not isinstance(value, int):
                continue  # Such a rank counts as none.
            with check.assertRaises(BadBody, msg=f"{path} {value}"):
                decode_configuration(with_value(good, path, value))


@on_real_clock
async def test_a_configuration_with_an_odd_version_leaves_the_instances_in_touch():
    # Guards against a version that no report can hold: its instance falls silent for all others.
    async with platform_site(entries=2, plain=1) as site:
        errors, before = count_errors(site), site.version
        good = site.store.spec("config", "main") | {"version": 1_000}
        for path, values in ODD_FIGURES.items():
            for value in values:
                site.store.put("config", "main", with_value(good, path, value))
        await trio.sleep(0.5)
        gates = [one.get(StoreReading).gate for one in site.kernels]
        check.assertEqual([one.version for one in gates], [before, before])
        version = site.configure()
        await site.until(lambda: all(one.version == version for one in gates))
        await check_news_spread(site)
        check.assertEqual(errors, [])


def test_what_is_no_message_is_rejected_whatever_it_holds():
    # Guards against a datagram whose message number is no number, which ended the process.
    for row in ([[]], [{}], [[], 1], {}, [], None, "x", [None], [1.5], [10**6], 7):
        with check.assertRaises(MessageError, msg=row):
            decode(row)


def test_numbers_of_a_peer_that_cannot_be_sent_on_are_rejected_with_their_row():
    # Guards against a row that this instance, as the home, can tell to no other.
    for number in (1e300, -1e300, float("inf"), float("nan"), 2**63, "x", None, []):
        with check.assertRaises(MessageError, msg=number):
            runner_from_row([*ROW[:5], number, *ROW[6:]])
        with check.assertRaises(MessageError, msg=number):
            instance_from_row(["i", "z", "127.0.0.1:1", "127.0.0.1:2", number, 1, 1, 0, True, 0])
        with check.assertRaises(MessageError, msg=number):
            request_from_row(["a", "llm", number, 1, None, 0, 100, 100])


@on_real_clock
async def test_a_row_that_the_home_cannot_send_is_logged_once():
    # Guards against a log line that itself ends the work, and one in each period.
    async with platform_site(entries=2) as site:
        home = next(one for one in site.kernels if one.get(FleetPort).is_home())
        lines = []
        sink = logger.add(lambda message: lines.append(message.record["message"]))
        updates = home.get(FleetUpdatesService)
        updates.add_row_kind("x", lambda: {"xodd": [HALF]}, lambda rows: None)
        await site.until(lambda: "home_row_unsendable" in lines)
        await trio.sleep(0.6)
        logger.remove(sink)
        check.assertEqual(lines.count("home_row_unsendable"), 1)
        await check_news_spread(site)
