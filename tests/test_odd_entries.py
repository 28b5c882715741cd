"""Odd values in the fields of the store's objects, at each of their readers, in whole entries."""

import re
from contextlib import contextmanager

import trio

from egretstack.http1 import ResponseHead
from egretstack.platform import runner_health
from egretstack.services.fleet_port import FleetPort
from standins.platform import PlainStandIn, json_body, runner_spec
from standins.platform import _store as store_module
from tests.platform_site import free_loopback_net, platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

RAW = (
    "[" * 1_000 + "]" * 1_000,
    '{"a":' * 1_000 + "1" + "}" * 1_000,
    "9" * 19,
    str(2**63 + 1),
    str(2**64),
    str(-(2**63)),
    "9" * 400,
    "-" + "9" * 5_000,
    "1e999",
    "-1e308",
    "1e308",
    "NaN",
    "-Infinity",
    "1.5",
    "null",
    "true",
    '"\\ud83d"',
    '"\\u0668\\u0660"',
    '"80"',
)
"""Values as JSON text, which no encoder writes for some of them."""
DEEPEST = "[" * 100_000 + "]" * 100_000
FRACTION, HALF, DIGITS, TEXT = RAW.index("1.5"), RAW.index('"\\ud83d"'), *range(17, 19)
READABLE = {
    ("cold-remaining-ms", FRACTION),
    *(("service", one) for one in (DIGITS, TEXT)),
    *(("zone", one) for one in (DIGITS, TEXT)),
}
"""Fields of a runner's entry and values that they may have."""
ADDRESSES = (
    *(f"127.9.2.9:{port}" for port in ("0", "65536", "99999999", "00080999999", "-1", " 80", "")),
    *("127.9.2.9:\u0668\u0660", "127.9.2.9:80\0", "127.9.2.9:" + "9" * 5_000, "127.9.2.9"),
    *(
        "[::1]:80",
        "::1:80",
        "runner.example:80",
        "\u0661.1.1.1:80",
        "1.1.1:80",
        ":80",
        "",
        "\ud83d",
    ),
    *("0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "127.9.2.9:80:80", "127.9.2.9/8:80"),
)
ODD_HEADER_VALUES = (
    *(b"9" * digits for digits in (21, 400, 5_000)),
    *(b"1e999", b"1e5", b"nan", b"inf", b"-1", b"-9999999999", b"0x10", b"1_0", b"+1", b"1."),
    *("\u0668".encode(), "\u00b2".encode("latin-1"), b"", b",", b",,", b"1,,", b"\xff"),
)


def stands_for(number):
    """Return a text in place of which the store writes a raw value."""
    return f"@{number}@"


@contextmanager
def raw_values():
    """Let the store write raw values."""
    values = (*RAW, DEEPEST)

    def write(document):
        text = json_body(document).decode()
        return re.sub(r'"@(\d+)@"', lambda found: values[int(found[1])], text).encode()

    before = store_module.json_body
    store_module.json_body = write
    try:
        yield
    finally:
        store_module.json_body = before


def put_odd_runners(site):
    """Write the odd entries of runners; return the names of those that name no runner."""
    unreadable = set()
    good = runner_spec("desk", "127.9.2.9:80", "ready")
    odd = [
        (field, number, good | {field: stands_for(number)})
        for field in (*good, "born")
        for number in range(len(RAW))
    ]
    odd += [("address", -1, good | {"address": address}) for address in ADDRESSES]
    odd += [("slots", -1, good | {"slots": stands_for(len(RAW))})]
    for index, (field, number, spec) in enumerate(odd):
        if field != "version" and (field, number) not in READABLE:
            unreadable.add(f"odd-{index}-{field}")
            site.store.put("servers", f"odd-{index}-{field}", spec)
        else:
            leaving = spec | ({"state": "draining"} if field != "state" else {})
            site.store.put("servers", f"leaving-{index}-{field}", leaving)
    return unreadable


def put_odd_objects(site):
    """Write odd objects of all other kinds, and of the configuration beside the one in force."""
    instance = {"zone": "z", "front": "127.9.1.1:80", "peer": "127.9.1.1:81", "strength": 1}
    for number in range(len(RAW) + 1):
        odd = stands_for(number)
        for field in instance:
            site.store.put("egret-instances", f"odd-{number}-{field}", instance | {field: odd})
        for place in range(3):
            record = [0, {"i-1": 2, "i-2": 2}, True]
            record[place] = odd
            site.store.put("egret-crash-records", f"odd-{number}-{place}", {"record": record})
        for place in range(5):
            record = [[["i-1"]], False, True, False, ["part"]]
            record[place] = odd
            site.store.put("egret-crash-parts", f"odd-{number}-{place}", {"record": record})
        for kind in ("egret-crash-records", "egret-crash-parts"):
            site.store.put(kind, f"odd-{number}", {"record": odd})
        site.store.put("evacuations", f"odd-{number}", {"x": odd})
        site.store.put("config", f"odd-{number}", {"version": odd})
    for number, address in enumerate(ADDRESSES):
        for field in ("front", "peer"):
            name = f"odd-address-{number}-{field}"
            site.store.put("egret-instances", name, instance | {field: address})


async def check_followed(site, name, unreadable):
    """Check that all entries learn of another runner, that none uses an odd one, and calls."""
    number = len(site.plain)
    runner = PlainStandIn(f"127.{free_loopback_net()}.2.{number + 1}:8080", name)
    site.plain.append(runner)
    await site.nursery.start(runner.run)
    site.register(name, "desk", runner.address)
    tables = [one.get(FleetPort).runners for one in site.kernels]
    await site.until(lambda: all(name in table.by_id for table in tables))
    for table in tables:
        known = {one.incarnation.name for one in table.by_id.values()}
        check.assertFalse(known & unreadable)
    for call in range(12):
        head, _ = await site.call("/notes/1", f"{name}-{call}", entry=call % len(site.kernels))
        check.assertEqual(head.status, 200)


@on_real_clock
async def test_odd_entries_leave_the_list_of_runners_followed_by_all_readers():
    # Guards against one entry of another writer that ends a reader of the list, or its process.
    errors = []
    with raw_values():
        async with platform_site(entries=2, plain=1) as site:
            for kernel in site.kernels:
                kernel.unforeseen.on_error(errors.append)
            unreadable = put_odd_runners(site)
            await check_followed(site, "i-watched", unreadable)
            site.store.forget_history()
            await check_followed(site, "i-listed", unreadable)
            kernel = await site.start_entry(2)
            kernel.unforeseen.on_error(errors.append)
            await site.until_ready()
            await check_followed(site, "i-started", unreadable)
            home = next(one for one in site.kernels if one.get(FleetPort).is_home())
            site.scope_by_instance[home.settings.instance].cancel()
            site.kernels.remove(home)
            await check_followed(site, "i-succeeded", unreadable)
            check.assertEqual(errors, [])


@on_real_clock
async def test_odd_objects_of_other_kinds_leave_the_list_of_runners_followed():
    # Guards against an odd instance, record, evacuation or configuration that ends its reader.
    errors = []
    with raw_values():
        async with platform_site(entries=1, plain=1) as site:
            put_odd_objects(site)
            await site.start_entry(1)
            await site.until_ready()
            for kernel in site.kernels:
                kernel.unforeseen.on_error(errors.append)
            await check_followed(site, "i-watched", set())
            site.store.forget_history()
            await check_followed(site, "i-listed", set())
            site.evacuate("leon-b")
            evacuations = [one.get(FleetPort).evacuations for one in site.kernels]
            await site.until(lambda: all("leon-b" in one.zones for one in evacuations))
            await trio.sleep(2.0)
            check.assertEqual(errors, [])


@on_real_clock
async def test_odd_figures_in_headers_of_runners_fail_no_call():
    # Guards against a header's figure that raises an error where it is parsed, used or sent on.
    async with platform_site(entries=2, plain=2) as site:
        errors, odd = [], site.plain[0]
        for kernel in site.kernels:
            kernel.unforeseen.on_error(errors.append)
        for number, value in enumerate(ODD_HEADER_VALUES):
            names = (b"server-limit", b"server-brittle", b"server-leaving", b"cold-ms")
            headers = [(name, value) for name in names]
            headers.append((b"keep-alive", b"timeout=" + value))
            odd.signal_headers = lambda headers=headers: tuple(headers)
            odd.load_header = b"1," + value + b",6"
            for entry in range(2):
                head, _ = await site.call("/notes/1", f"a-{number}-{entry}", entry=entry)
                check.assertEqual(head.status, 200, value)
        check.assertEqual(errors, [])
        check.assertTrue(odd.heads)


@on_real_clock
async def test_odd_times_to_wait_of_a_runner_that_is_full_fail_no_call():
    # Guards against a Retry-After that is no time.
    async with platform_site(entries=2, plain=2) as site:
        errors, odd = [], site.plain[0]
        for kernel in site.kernels:
            kernel.unforeseen.on_error(errors.append)
        for number, value in enumerate(ODD_HEADER_VALUES):
            odd.backoff_s = value.decode("latin-1")
            head, _ = await site.call("/notes/1", f"a-{number}", entry=number % 2)
            check.assertEqual(head.status, 200, value)
        check.assertEqual(errors, [])


def test_odd_times_of_a_cold_start_are_none():
    # Guards against a health answer whose figure raises an error.
    for value in ODD_HEADER_VALUES:
        headers = ((b"runner-id", b"i-1"), (b"cold-ms", value))
        check.assertEqual(runner_health(ResponseHead(200, b"", headers)).cold_s, 0.0, value)
