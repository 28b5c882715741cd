"""Routes and client accounts restricted to regions: runners, and the addresses given to callers.

The deployment has two regions and three availability zones.
"""

from egretstack.fleet import Instance, nearest
from egretstack.ids import InstanceId, RegionName, ZoneName
from egretstack.placing import request_from_row, request_row
from egretstack.platform import BadBody, decode_configuration
from egretstack.routing import common_regions
from egretstack.services.directory_port import DirectoryPort
from egretstack.services.fleet_port import FleetPort
from egretstack.services.store_reading import StoreReading
from standins.platform import GENERATION, HOST, configuration, route
from tests.fleet_fixtures import generation_request
from tests.platform_site import REGION_BY_ZONE, platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

BAJIO, PACIFICO = RegionName("bajio"), RegionName("pacifico")
COLIMA = ZoneName("colima")


def decoded(regions, account_regions=None):
    row = route("notes", "idempotent", "desk", **{"allowed-regions": regions})
    account = {} if account_regions is None else {"allowed-regions": account_regions}
    table = decode_configuration(configuration(1, [row], ("k",), **account))
    (only,) = table.account_by_key_digest.values()
    return table.routes[0], only


async def restrict(site, *regions, **regions_by_route):
    """Restrict the account, and routes by name, to regions; wait until all instances know."""
    site.allowed_regions = regions
    for row in site.routes:
        row["allowed-regions"] = regions_by_route.get(row["name"], [])
    version = site.configure()
    site.assign_zones("leon-a", "colima")
    await site.until(
        lambda: all(
            kernel.get(StoreReading).gate.version == version
            and any(it.zone == COLIMA for it in kernel.get(FleetPort).runners.by_id.values())
            for kernel in site.kernels
        )
    )


def test_the_regions_of_route_and_account_are_intersected():
    check.assertEqual(common_regions(*decoded(["bajio", "pacifico"], ["pacifico"])), {PACIFICO})
    check.assertEqual(common_regions(*decoded(["bajio"], ["pacifico"])), frozenset())
    check.assertEqual(common_regions(*decoded([], ["pacifico"])), {PACIFICO})
    check.assertIsNone(common_regions(*decoded([])))
    check.assertEqual(common_regions(decoded(["bajio"])[0], None), {BAJIO})


def test_invalid_regions_are_rejected():
    for bad in ("bajio", [1], [""], ["x" * 500], ["r"] * 65, {"a": 1}, -1):
        check.assertRaises(BadBody, decoded, bad)
        check.assertRaises(BadBody, decoded, [], bad)
    for field, bad in (("cold-per-s", -1), ("cold-per-s", "9"), ("cold-start-s", 1e9)):
        spec = configuration(1, [], ("k",))
        spec["services"][0][field] = bad
        check.assertRaises(BadBody, decode_configuration, spec)


def test_the_zones_of_a_generation_are_sent_to_the_home():
    for zones in (None, frozenset(), frozenset({COLIMA})):
        request = generation_request("w", zones=zones)
        check.assertEqual(request_from_row(request_row(request)), request)


@on_real_clock
async def test_calls_run_only_in_the_regions_of_their_route_and_account():
    # The account is restricted to one region; the runner of the other region is as near and as
    # idle.
    async with platform_site(plain=2) as site:
        await restrict(site, "pacifico")
        for number in range(10):
            head, _ = await site.call("/notes/1", f"r-{number}")
            check.assertEqual(head.status, 200)
        check.assertEqual(sum(site.plain[0].runs_by_attempt.values()), 0)


@on_real_clock
async def test_generations_run_and_are_copied_only_in_their_regions():
    async with platform_site(plain=1, engines=4) as site:
        await restrict(site, plans=["bajio"])
        for number in range(4):
            reader = await start_reader(site, f"s-{number}")
            await reader.ended.wait()
            check.assertEqual(reader.status, 200)
        for engine in site.engines[1::2]:
            check.assertFalse(engine.heads or engine.continued)
        addresses = {engine.address.encode() for engine in site.engines[1::2]}
        for engine in site.engines[::2]:
            copies = {value for head in engine.heads for name, value in head.headers if value}
            check.assertFalse(copies & addresses)


@on_real_clock
async def test_a_request_that_no_region_may_run_is_refused_at_once():
    # The route is restricted to one region and the account to another: no runner may run it.
    async with platform_site(plain=2, engines=2) as site:
        await restrict(site, "pacifico", notes=["bajio"], plans=["bajio"])
        for path, headers in (("/notes/1", ()), ("/plans/1", GENERATION)):
            head, _ = await site.call(path, f"a{path}", method=b"POST", headers=headers)
            check.assertEqual(head.status, 503)
            check.assertIn(b"retry-after", dict(head.headers))
        for runner in (*site.plain, *site.engines):
            check.assertEqual(sum(runner.runs_by_attempt.values()), 0)


def test_callers_get_addresses_of_their_own_region_or_of_an_allowed_region():
    # The directory returns other regions only if no instance in these is ready.
    zones = ("leon-a", "leon-b", "colima")
    instances = [Instance(InstanceId(zone), ZoneName(zone), "", "") for zone in zones]

    def nearest_ids(region, allowed=(), ready=instances):
        return [one.id for one in nearest(ready, REGION_BY_ZONE, RegionName(region), allowed)]

    check.assertEqual(nearest_ids("bajio", {PACIFICO}), ["leon-a", "leon-b"])
    check.assertEqual(nearest_ids("pacifico"), ["colima"])
    check.assertEqual(nearest_ids("norte", {PACIFICO}), ["colima"])
    check.assertEqual(nearest_ids("", {PACIFICO}), ["colima"])
    check.assertEqual(nearest_ids("norte"), list(zones))
    check.assertEqual(nearest_ids("pacifico", {PACIFICO}, instances[:2]), ["leon-a", "leon-b"])


@on_real_clock
async def test_the_directory_answers_callers_of_any_region():
    async with platform_site(entries=2) as site:
        await restrict(site, notes=["bajio"])
        both = {site.settings(number).front_address for number in range(2)}
        port = site.kernels[0].get(DirectoryPort)
        for region in (BAJIO, PACIFICO, RegionName("")):
            check.assertEqual(set(port.ready_addresses(region, HOST)), both)
