"""Invalid entries that another writer left in the store: they add no runner; the others stay."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from egretstack.fleet import RunnerTable
from egretstack.ids import ServiceName
from egretstack.platform import BadBody, Change, RunnerEntries, StoredObject, parse_object
from egretstack.platform._store import _decode_changes, _decode_page
from egretstack.services.instance_listing import _parse_listed
from standins.platform import runner_spec
from tests.support import check, tests_of

load_tests = tests_of(globals())

EXAMPLES = settings(deadline=None, max_examples=300)
STARTED_MS = 1_700_000_000_000
GOOD = runner_spec("llm", "10.1.1.1:80", started_ms=STARTED_MS)

INVALID = {
    "no service": {"service": None},
    "service of another type": {"service": 7},
    "empty service": {"service": ""},
    "no address": {"address": None},
    "address without a port": {"address": "10.1.1.1"},
    "port 0": {"address": "10.1.1.1:0"},
    "port too large": {"address": "10.1.1.1:70000"},
    "port that is no number": {"address": "10.1.1.1:http"},
    "a name for an address": {"address": "runner.example:80"},
    "an address of no host": {"address": "0.0.0.0:80"},
    "a multicast address": {"address": "224.0.0.1:80"},
    "address of another type": {"address": ["10.1.1.1:80"]},
    "no zone": {"zone": None},
    "no slots": {"slots": None},
    "negative slots": {"slots": -4},
    "no slot": {"slots": 0},
    "half a slot": {"slots": 1.5},
    "slots as text": {"slots": "24"},
    "slots that are true": {"slots": True},
    "slots without end": {"slots": float("inf")},
    "slots that are no number": {"slots": float("nan")},
    "too many slots": {"slots": 10**9},
    "no state": {"state": None},
    "a state that is not named": {"state": "warming"},
    "state of another type": {"state": {"ready": True}},
    "no sequence": {"seq-no": None},
    "negative sequence": {"seq-no": -1},
    "no cold time": {"cold-remaining-ms": None},
    "negative cold time": {"cold-remaining-ms": -5},
    "cold time as text": {"cold-remaining-ms": "0"},
    "start time as text": {"born": "yesterday"},
    "fractional start time": {"born": 1.5},
    "huge start time": {"born": 1 << 60},
    "no start time among others": {"born": None},
}


def stored(name, spec, revision=3):
    """Return an object as the store lists it."""
    return StoredObject(name, revision, spec)


def apply_changes(entries, *objects):
    """Apply objects as changes; return the invalid ones that are reported."""
    return entries.apply(Change(one, False) for one in objects)


def with_changes(changes):
    """Return a valid entry with fields changed, or left out where None."""
    spec = {name: value for name, value in (GOOD | changes).items() if value is not None}
    return spec


def test_an_invalid_entry_adds_no_runner_and_the_others_stay():
    # The store lists what any program wrote there. Requests must not be sent to an address that
    # nobody serves, nor all runners be lost with one invalid entry.
    for name, changes in INVALID.items():
        entries = RunnerEntries()
        good = stored("i-1", GOOD)
        bad = apply_changes(entries, good, stored("i-2", with_changes(changes)))
        names = [one.incarnation.name for one in entries.runners()]
        check.assertEqual(names, ["i-1"], name)
        check.assertEqual([one.name for one in entries.bad()], ["i-2"], name)
        if name != "no start time among others":
            check.assertEqual([one.name for one in bad], ["i-2"], name)


def test_names_that_no_runner_can_have():
    for name in ("", "a b", "a\r\nx: y", "é", "x" * 200, "\0"):
        entries = RunnerEntries()
        apply_changes(entries, stored(name, GOOD))
        check.assertEqual(entries.runners(), [], name)


def test_an_invalid_entry_is_reported_once_for_each_change():
    entries = RunnerEntries()
    bad = stored("i-1", with_changes({"slots": -1}))
    check.assertEqual(len(apply_changes(entries, bad)), 1)
    check.assertEqual(len(apply_changes(entries, bad)), 0)
    check.assertEqual(len(apply_changes(entries, stored("i-1", with_changes({"state": "odd"})))), 1)
    check.assertEqual(len(apply_changes(entries, stored("i-1", GOOD), bad)), 1)


def test_an_entry_that_becomes_invalid_removes_its_runner():
    entries = RunnerEntries()
    apply_changes(entries, stored("i-1", GOOD))
    apply_changes(entries, stored("i-1", with_changes({"service": None})))
    check.assertEqual(entries.runners(), [])
    apply_changes(entries, stored("i-1", GOOD))
    check.assertEqual(len(entries.runners()), 1)


def test_runners_of_a_platform_without_start_times_are_used():
    entries = RunnerEntries()
    apply_changes(entries, *(stored(f"i-{n}", with_changes({"born": None})) for n in range(3)))
    check.assertEqual(len(entries.runners()), 3)
    check.assertEqual(entries.bad(), [])


def test_one_invalid_item_does_not_invalidate_a_list():
    good = {"metadata": {"name": "i-1", "revision": 3}, "spec": GOOD}
    for item in (None, 3, "x", [], {}, {"metadata": 1}, {"metadata": {"name": 4}}):
        listing, _ = _decode_page(0, {"items": [item, good], "as-of": 9})
        check.assertEqual([one.name for one in listing.objects], ["i-1"])
        check.assertEqual(listing.unnamed, 1)
        event = {"object": item, "deleted": False}
        changes = _decode_changes(0, {"events": [event, item, {"object": good}], "as-of": 9})
        check.assertEqual([one.object.name for one in changes.changes], ["i-1"])
    listing, _ = _decode_page(0, {"items": [good | {"spec": "%%%"}], "as-of": 9})
    check.assertEqual(listing.objects[0].spec, {})


def test_one_entry_with_bytes_that_cannot_be_parsed():
    # One entry has text that is not UTF-8, or a number with more digits than the interpreter
    # parses. The list of all runners must not be lost with it.
    page = {"items": [{"metadata": {"name": "i-1", "revision": 3}, "spec": GOOD}], "as-of": 9}
    text = json.dumps(page).encode()
    corrupt = text.replace(b'"items": [', b'"items": [{"metadata": {"name": "\xff\xfe"}}, ')
    huge = text.replace(b'"items": [', b'"items": [{"n": ' + b"9" * 10_000 + b"}, ")
    for data in (corrupt, huge):
        listing, _ = _decode_page(0, parse_object(data))
        check.assertIn("i-1", [one.name for one in listing.objects])


_json = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**25), 10**25)
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["ready", "draining", "10.1.1.1:80", "llm", "", "0.0.0.0:1"]),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)
_spec = st.dictionaries(st.sampled_from(sorted(GOOD)), _json, max_size=9)


@EXAMPLES
@given(st.lists(st.tuples(st.text(max_size=6), _spec), max_size=6))
def test_any_structure_is_decoded_or_refused(entries):
    known = RunnerEntries()
    bad = apply_changes(
        known, stored("i-good", GOOD), *(stored(n, GOOD | spec) for n, spec in entries)
    )
    names = {one.incarnation.name for one in known.runners()}
    check.assertTrue(names.isdisjoint({one.name for one in known.bad()}))
    if "i-good" not in dict(entries):
        check.assertIn("i-good", names)
    for runner in known.runners():
        check.assertGreaterEqual(runner.slots, 1)
        check.assertTrue(runner.incarnation.name.isprintable() and runner.service)
    check.assertLessEqual(len(bad), len(entries))
    RunnerTable().apply_reading(0.0, known.runners(), 1, 0.0)


@EXAMPLES
@given(st.binary(max_size=60))
def test_any_bytes_are_read_or_refused(data):
    try:
        body = parse_object(data)
        _decode_page(0, body)
    except BadBody:
        return
    check.assertIsInstance(body, dict)


def test_a_runner_of_an_unknown_service_serves_no_other_one():
    entries = RunnerEntries()
    apply_changes(entries, stored("i-1", GOOD | {"service": "unheard-of"}))
    table = RunnerTable()
    table.apply_reading(0.0, entries.runners(), 1, 0.0)
    check.assertEqual(table.ready(ServiceName("llm")), [])


def test_an_invalid_instance_entry_adds_no_instance():
    # A report is sent to each instance that the store lists, and an invalid address cannot be sent
    # to. Every process would end on such an entry.
    good = {"zone": "a", "front": "10.1.0.1:80", "peer": "10.1.0.1:7200", "strength": 3}
    check.assertIsNotNone(_parse_listed(stored("e-1", good)))
    for changes in (
        {"peer": ""},
        {"peer": "x:y"},
        {"front": 7},
        {"zone": None},
        {"peer": "1.1.1.1"},
    ):
        check.assertIsNone(_parse_listed(stored("e-1", good | changes)))
