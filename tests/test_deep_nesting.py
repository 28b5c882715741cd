"""Deeply nested values from outside."""

import json
import time
from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st

from egretstack.platform import BadBody, decode_configuration, parse_object, runner_report
from egretstack.platform._nesting import without_deep_values
from egretstack.services.fleet_port import FleetPort
from egretstack.services.store_reading import StoreReading
from standins.platform import KEY, StoreStandIn, configuration
from standins.platform import _store as store_module
from tests.platform_site import platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

DEEP = "@deep@"
"""Stands for a deeply nested value, which no encoder writes."""
LEVELS = 100_000


def write_deep(document):
    """Return a document as JSON, with a nested list of many levels in place of DEEP."""
    nested = "[" * LEVELS + "]" * LEVELS
    return json.dumps(document).replace(f'"{DEEP}"', nested).encode()


@on_real_clock
async def test_a_deeply_nested_entry_leaves_the_list_around_it_readable():
    # Guards against one entry of another writer after which no instance reads the list any more,
    # so that leaving runners get requests.
    before = store_module.json_body
    store_module.json_body = write_deep
    try:
        async with platform_site(entries=2, plain=2) as site:
            site.store.put("servers", "i-deep", {"service": DEEP})
            site.store.put("config", "other", {"deep": DEEP})
            site.register("i-last", "desk", "127.9.2.8:8080", state="draining")
            tables = [one.get(FleetPort).runners for one in site.kernels]
            for table in tables:
                await site.until(lambda table=table: any("i-last" in one for one in table.by_id))
            version = site.configure()
            gates = [one.get(StoreReading).gate for one in site.kernels]
            await site.until(lambda: all(one.version == version for one in gates))
    finally:
        store_module.json_body = before
    check.assertIsInstance(site.store, StoreStandIn)


def test_a_configuration_that_cannot_be_sent_to_peers_is_not_put_in_force():
    # Guards against a configuration that one instance parses and cannot pass on to the others.
    spec = configuration(1, [], (KEY,))
    check.assertEqual(decode_configuration(spec | {"x": [[[]]]}).version, 1)
    deep = []
    for _ in range(600):
        deep = [deep]
    with check.assertRaises(BadBody):
        decode_configuration(spec | {"x": deep})


def test_deep_values_become_null_and_all_else_stays():
    # Guards against a cut that changes what lies beside it.
    text = '{"a": [1, "[[[{"], "b": %s, "c": {"d": "\\\\\\"]}"}}' % ("[" * 5000 + "7" + "]" * 5000)
    body = parse_object(text.encode())
    check.assertEqual((body["a"], body["c"]), ([1, "[[[{"], {"d": '\\"]}'}))
    check.assertEqual(
        json.loads(without_deep_values('[1, [2, {"x": [3]}], [4]]', 2)), [1, [2, None], [4]]
    )
    check.assertEqual(
        runner_report(b'{"state": "draining", "x": %s}' % (b"[" * 9999 + b"]" * 9999)).leaving, True
    )
    for bad in ("[" * 9999, '{"a": ' + "[" * 5000 + '"', "]" * 9999, "[" * 5000 + "}" * 5000):
        with check.assertRaises(BadBody, msg=bad[:9]):
            parse_object(bad.encode())


@settings(max_examples=100, deadline=None)
@given(
    st.recursive(
        st.none() | st.booleans() | st.text(alphabet='[]{}"\\a', max_size=6),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3),
        max_leaves=20,
    ),
    st.integers(min_value=1, max_value=5),
)
def test_a_cut_text_is_that_of_the_cut_value(value, levels):
    # Guards against brackets in strings that count as levels.
    def cut(one, left):
        if not isinstance(one, dict | list):
            return one
        if not left:
            return None
        if isinstance(one, list):
            return [cut(inner, left - 1) for inner in one]
        return {name: cut(inner, left - 1) for name, inner in one.items()}

    check.assertEqual(
        json.loads(without_deep_values(json.dumps(value), levels)), cut(value, levels)
    )


def test_odd_texts_are_cut_in_time_that_grows_with_their_length():
    # Guards against a text that holds up all other work, such as one of many unmatched quotes.
    for unit in ('\\"', '"', "[]", "[", '"\\', "{[", "]["):
        text = '{"x": "' + unit * (200_000 // len(unit))
        began_s = time.perf_counter()
        with suppress(ValueError):
            without_deep_values(text, 64)
        check.assertLess(time.perf_counter() - began_s, 2.0, unit)
