"""Decoding of the platform's formats into the types of the system, and errors of invalid input."""

import json
import tempfile
from pathlib import Path

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from egretstack.errors import UserError
from egretstack.fleet import RunnerState
from egretstack.http1 import RequestHead, ResponseHead
from egretstack.ids import AccountId, RunnerName
from egretstack.platform import (
    BadBody,
    StoredObject,
    client_head,
    decode_configuration,
    decode_request,
    decode_runner,
    move_answer,
    parse_object,
    read_configuration,
    read_node_settings,
    runner_answer,
    runner_report,
    runner_request,
)
from egretstack.routing import RouteKind, RoutingTable
from egretstack.traffic import ContinueFrom, MoveOutcome, SendOptions
from standins.platform import KEY, configuration, route, runner_spec
from tests.support import check, tests_of

load_tests = tests_of(globals())

NODE = """node-name=edge-leon-a-1
role=entry
ip=10.1.0.19
zone=leon-a
region=bajio
listen.front=10.1.0.19:8740
listen.ready-address=10.1.0.19:8749
listen.directory=10.1.0.19:8746
internal-ports=7200,7215
seeds=10.1.0.19:8748,10.2.0.13:8748
limits.memory-mb=150
bounds.drain-ms=2500
platform.address=10.200.1.7:8742
a-field-of-next-year=whatever
"""


def read_settings(text):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.conf"
        path.write_text(text)
        return read_node_settings(path)


def test_settings_file_is_read_and_unknown_fields_are_ignored():
    settings = read_settings(NODE)
    check.assertEqual(settings.instance, "edge-leon-a-1")
    check.assertEqual(settings.bounds.runner_drain_s, 2.5)
    check.assertEqual(settings.bounds.grace_s, 8)
    check.assertEqual((settings.first_peer_port, settings.last_peer_port), (7200, 7215))
    check.assertEqual(settings.metrics_address, "10.1.0.19:7201")
    check.assertEqual(settings.seeds, ("10.1.0.19:8748", "10.2.0.13:8748"))


def test_settings_errors_name_the_file_and_the_key():
    for line, name in (
        ("node-name=edge-leon-a-1", "node-name"),
        ("listen.front=10.1.0.19:8740", "listen.front"),
        ("internal-ports=7200,7215", "internal-ports"),
        ("platform.address=10.200.1.7:8742", "platform.address"),
    ):
        key = line.partition("=")[0]
        for bad in ("", f"{key}=", f"{key}=nonsense"):
            text = NODE.replace(line, bad)
            if key == "node-name" and bad.endswith("nonsense"):
                continue
            with check.assertRaises(UserError) as caught:
                read_settings(text)
            check.assertIn(name, str(caught.exception))
            check.assertIn("node.conf", str(caught.exception))
    with check.assertRaises(UserError):
        read_settings(NODE.replace("drain-ms=2500", "drain-ms=-1"))


def test_ports_that_are_no_numbers_to_python_are_settings_errors():
    # Guards against a port that ends the check of a file with a traceback instead of a message.
    for port in ("\u00b2", "\u0668\u0660", "9" * 5_000, "0", "65536", "99999999", "-1", "8_0"):
        for good, bad in (
            ("10.200.1.7:8742", f"10.200.1.7:{port}"),
            ("7200,7215", f"{port},7215"),
            ("7200,7215", f"7200,{port}"),
        ):
            with check.assertRaises(UserError, msg=bad[:40]):
                read_settings(NODE.replace(good, bad))


def test_missing_settings_file_is_a_clear_error():
    with check.assertRaises(UserError) as caught:
        read_node_settings(Path("nowhere/node.conf"))
    check.assertIn("nowhere/node.conf", str(caught.exception))


def routing_table(**overrides):
    spec = configuration(
        7,
        [
            route("a", "idempotent", "desk"),
            route("a-b", "non_idempotent", "desk", **{"path-prefix": "/a/b/"}),
            route("s", "streaming", "llm", **{"traffic-split": [{"service": "llm", "weight": 9}]}),
        ],
        (KEY,),
    )
    return RoutingTable(decode_configuration(spec | overrides))


def test_longest_path_prefix_of_the_host_wins():
    table = routing_table()
    check.assertIs(table.route("ficu.example", "/a/x").kind, RouteKind.IDEMPOTENT)
    check.assertIs(table.route("FICU.example:8740", "/a/b/x").kind, RouteKind.NON_IDEMPOTENT)
    check.assertIsNone(table.route("ficu.example", "/a"))
    check.assertIsNone(table.route("other.example", "/a/x"))


def test_api_keys_are_stored_only_as_digests():
    table = routing_table()
    check.assertEqual(table.account(KEY).name, "nineras")
    check.assertIsNone(table.account("wrong"))
    check.assertNotIn(KEY, repr(table.configuration))


def test_invalid_configuration_is_rejected_completely():
    good = configuration(1, [route("a", "idempotent", "desk")], (KEY,))
    for invalid in (
        {"version": "x"},
        {"routes": [{"name": "a"}]},
        {"routes": "x"},
        {"services": [{"name": 3}]},
        {"tenants": [{"name": "a", "api-keys": "x"}]},
    ):
        with check.assertRaises(BadBody):
            decode_configuration(good | invalid)


def test_decoding_a_runner_entry():
    spec = runner_spec("llm", "10.1.1.1:80")
    ready = decode_runner(StoredObject("i-1", 3, spec))
    leaving = decode_runner(StoredObject("i-1", 4, spec | {"state": "draining"}))
    check.assertEqual((ready.state, leaving.state), (RunnerState.READY, RunnerState.LEAVING))
    with check.assertRaises(BadBody):
        decode_runner(StoredObject("i-1", 3, {"service": "llm"}))


def request(*headers):
    return decode_request(
        RequestHead(b"POST", b"/a/1?q=1", ((b"host", b"h"), (b"attempt-id", b"x1"), *headers)),
        b"{}",
    )


def test_headers_reserved_for_the_system_are_not_forwarded():
    # A client that sets them itself would get a higher priority, pin memory, or act as another
    # account.
    forged = [
        (name, b"forged")
        for name in (
            b"tenant",
            b"expect-runner",
            b"request-priority",
            b"hold",
            b"pin-ms",
            b"kv-backup",
            b"kv-from",
            b"kv-fetch",
            b"expect-version",
            b"last-event-id",
            b"authorization",
            b"x-hop",
        )
    ]
    sent = runner_request(
        request(*forged, (b"connection", b"x-hop"), (b"x-kept", b"yes")),
        SendOptions(RunnerName("i-1"), 1.5, AccountId("nineras")),
    )
    values = dict(sent.headers)
    check.assertNotIn(b"forged", values.values())
    check.assertEqual(values[b"tenant"], b"nineras")
    check.assertEqual(values[b"expect-runner"], b"i-1")
    check.assertEqual(values[b"deadline-ms"], b"1500")
    check.assertEqual(values[b"x-kept"], b"yes")
    check.assertEqual(sent.target, b"/a/1?q=1")


def test_continued_run_names_its_copy_and_last_event():
    options = SendOptions(
        RunnerName("i-2"), 3.0, None, 4, "10.1.1.3:80", ContinueFrom("10.1.1.1:80", "h-9", "12")
    )
    values = dict(runner_request(request(), options).headers)
    check.assertEqual(values[b"kv-from"], b"10.1.1.1:80/h-9")
    check.assertEqual(values[b"last-event-id"], b"12")
    check.assertEqual(values[b"kv-backup"], b"10.1.1.3:80")
    check.assertEqual(values[b"request-priority"], b"4")


def test_a_last_event_id_is_sent_as_received():
    # Guards against another encoding, in which the runner would not find the event.
    received = decode_request(RequestHead(b"POST", b"/", ((b"last-event-id", b"\xe9-7"),)), b"")
    options = SendOptions(RunnerName("i-1"), 1.5, None, last_event_id=received.last_event_id)
    sent = runner_request(received, options)
    check.assertEqual(dict(sent.headers)[b"last-event-id"], b"\xe9-7")


def test_unreadable_hints_count_as_missing():
    invalid = request((b"deadline-ms", b"soon"), (b"token-count", b"many"), (b"length-hint", b"-4"))
    check.assertIsNone(invalid.time_left_s)
    check.assertIsNone(invalid.generation)
    sized = request((b"token-count", b"10,20"), (b"prompt-prefix", b"a:7,bad,b:x"))
    check.assertEqual(sized.generation.max_output_tokens, 20)
    check.assertEqual([part.id for part in sized.generation.prompt_parts], ["a"])


def test_prompts_of_one_model_share_the_ids_of_their_common_parts():
    # Guards against ends of runners that cannot be traced to what different prompts share.
    def shared_parts(parts, model=b"m"):
        headers = ((b"model", model), (b"token-count", b"10,20"), (b"prompt-prefix", parts))
        return request(*headers).fingerprint("a").parts

    one, other = shared_parts(b"a:7,b:3,c:1"), shared_parts(b"b:3,d:2,c:1")
    check.assertEqual(set(one) & set(other), {one[1]})
    check.assertEqual(len(one), 2)
    check.assertFalse(set(one) & set(shared_parts(b"a:7,b:3,c:1", b"n")))
    check.assertEqual(shared_parts(b"a:7,a:7,c:1"), one[:1])
    check.assertEqual(shared_parts(b"c:1"), ())


def test_decoding_the_head_of_an_answer():
    def answer(status, *headers):
        return runner_answer(ResponseHead(status, b"", headers))

    check.assertTrue(answer(421).rejected)
    check.assertTrue(answer(503, (b"not-executed", b"1")).rejected)
    check.assertFalse(answer(503).rejected)
    check.assertTrue(answer(200, (b"runner-seal", b"x")).sealed)
    check.assertIsNone(answer(200, (b"runner-load", b"1,x,2")).load)
    forwarded = client_head(answer(200, (b"runner-seal", b"x"), (b"runner-load", b"1,2,3")))
    check.assertEqual(forwarded.headers, ((b"runner-seal", b"x"),))


def test_decoding_answers_to_copy_requests():
    check.assertIs(move_answer(200, b'{"handle": "h"}').outcome, MoveOutcome.COPIED)
    check.assertEqual(move_answer(503, b'{"handle": "h"}').handle, "h")
    check.assertIs(move_answer(404, b"").outcome, MoveOutcome.NO_SUCH_RUN)
    check.assertIs(move_answer(500, b"").outcome, MoveOutcome.FAILED)
    with check.assertRaises(BadBody):
        move_answer(200, b"[]")


@settings(deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_bad_body(data):
    for decode in (parse_object, runner_report):
        try:
            decode(data)
        except BadBody:
            continue


_json = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 5) | st.text(max_size=4),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=6), inner, max_size=3),
    max_leaves=8,
)


@settings(deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    st.dictionaries(st.sampled_from(["version", "routes", "services", "limits", "tenants"]), _json)
)
def test_arbitrary_configurations_raise_only_bad_body(spec):
    try:
        decode_configuration(spec)
    except BadBody:
        return


def test_latency_target_defaults_to_the_timeout():
    # Guards against a target of 0, which left no time to wait for capacity, so that every stream of
    # the route was refused immediately.
    row = route("plans", "streaming", "llm")
    del row["target-latency-ms"]
    decoded = decode_configuration(configuration(1, [row], (KEY,)))
    check.assertEqual(decoded.routes[0].target_latency_s, decoded.routes[0].timeout_s)


def test_configuration_file_errors_name_the_field():
    good = configuration(1, [route("plans", "streaming", "llm")], (KEY,))
    bad = configuration(1, [route("notes", "often", "desk")], (KEY,))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "main.json"
        for body in (good, {"metadata": {"name": "main"}, "spec": good}):
            path.write_text(json.dumps(body))
            check.assertEqual(read_configuration(path).version, 1)
        for body in (bad, {"spec": 5}, {"version": "x"}):
            path.write_text(json.dumps(body))
            with check.assertRaises(UserError):
                read_configuration(path)
        path.write_text(json.dumps(bad))
        with check.assertRaisesRegex(UserError, r"main.json: routes\[0\]: route-type 'often'"):
            read_configuration(path)
        with check.assertRaises(UserError):
            read_configuration(Path(folder) / "none.json")


def test_runner_limit_is_a_bounded_decimal_number():
    # Guards against a malformed limit header of a runner that would stop it or lift its limit.
    def limit(value):
        headers = () if value is None else ((b"server-limit", value),)
        return runner_answer(ResponseHead(200, b"", headers)).limit_per_s

    for text, per_s in ((b"2.4", 2.4), (b"0", 0.0), (b"12", 12.0), (b" 3.0 ", 3.0)):
        check.assertEqual(limit(text), per_s)
    for text in (None, b"", b"-1", b"nan", b"inf", b"1e9", b"2,4", b"9" * 12, b"\xff"):
        check.assertIsNone(limit(text))


def test_backoff_is_read_only_from_rejections():
    # Guards against backoffs from a malformed header, and against ones that never end.
    def backoff_s(status, value):
        return runner_answer(ResponseHead(status, b"", ((b"retry-after", value),))).backoff_s

    check.assertEqual(backoff_s(503, b"3"), 3.0)
    check.assertEqual(backoff_s(503, b"0.25"), 0.25)
    for status, value in ((200, b"3"), (429, b"3"), (503, b"soon"), (503, b"-1"), (503, b"1e9")):
        check.assertIsNone(backoff_s(status, value))
    check.assertEqual(backoff_s(503, b"999999"), 3600.0)


def test_runner_is_leaving_if_its_header_is_1():
    def leaving(*headers):
        return runner_answer(ResponseHead(200, b"", headers)).leaving

    check.assertTrue(leaving((b"server-leaving", b"1")))
    check.assertFalse(leaving((b"server-leaving", b"0")))
    check.assertFalse(leaving())
