"""Odd answers of runners: what cannot be sent on is no answer, and no other request notices."""

import trio
from loguru import logger

from egretstack.platform import BadBody, move_answer, runner_report
from standins.platform import GENERATION, EngineStandIn
from tests.platform_site import free_loopback_net, platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())


def generation(tokens):
    """Return the headers of a request for so many tokens, without a hint of its length."""
    fields = {b"token-count": b"900,%d" % tokens}
    return tuple(
        (name, fields.get(name, value)) for name, value in GENERATION if name != b"length-hint"
    )


@on_real_clock
async def test_a_handle_that_cannot_be_sent_back_ends_no_stream_and_no_instance():
    # Guards against one spoilt byte in the answer to a copy, which made an illegal request line:
    # the process ended when the stream was complete and its copy was to be freed.
    async with platform_site(plain=1, engines=1) as site:
        first = site.engines[0]
        first.handle_prefix, first.events, first.gap_s = "h\u00e9-", 80, 0.03
        reader = await start_reader(site, "s-1", 3, headers=generation(400))
        # Only now there is an engine for a copy, so that the run is copied by an order.
        second = EngineStandIn(f"127.{free_loopback_net()}.3.9:8080", "i-llm-9")
        await site.nursery.start(second.run)
        site.register(second.runner_id, "llm", second.address)
        await site.until(lambda: first.moves)
        await reader.ended.wait()
        check.assertEqual((reader.ids, reader.broken), (list(range(1, 81)), False))
        head, _ = await site.call("/notes/1", "after")
        check.assertEqual(head.status, 200)


def test_a_handle_has_to_fit_a_path_and_a_header():
    # Guards against handles that are found to be unusable only when they are sent back.
    for handle in ("h\ufffd1", "a b", "a\r\nb", "x" * 300, "h\ud83d"):
        body = b'{"handle": "%s"}' % handle.encode("unicode_escape").replace(b"\\x", b"\\u00")
        with check.assertRaises(BadBody, msg=handle):
            move_answer(200, body)
    check.assertEqual(move_answer(200, b'{"handle": "c-7.x_9~"}').handle, "c-7.x_9~")


def test_figures_of_a_report_that_cannot_be_sent_on_make_it_no_answer():
    # Guards against a figure that the home can tell to no other instance.
    for name in ("running", "waiting", "kv-used", "kv-total"):
        for value in (b"1e308", b"-1e308", b"1e999", b"NaN", b"9" * 19, b"9" * 5_000, b'"7"'):
            with check.assertRaises(BadBody, msg=f"{name} {value}"):
                runner_report(b'{"%s": %s}' % (name.encode(), value))
    with check.assertRaises(BadBody):
        move_answer(200, b'{"created": 1e308}')


def test_a_time_to_leave_that_is_no_time_is_none():
    # Guards against an engine that gets no request any more since a figure of it is spoilt.
    for value in (b"1e999", b"-Infinity", b"NaN", b"true", b"9" * 400, b'"5"', b"[5]", b"null"):
        check.assertIsNone(runner_report(b'{"leaves_ms": %s}' % value).leaves_in_s, value)
    check.assertEqual(runner_report(b'{"leaves_ms": 1500}').leaves_in_s, 1.5)


@on_real_clock
async def test_an_engine_that_reports_a_huge_figure_keeps_no_loads_from_the_others():
    # Guards against one engine for which the home's message with all loads cannot be encoded.
    async with platform_site(entries=2, engines=2) as site:
        odd, errors, lines = site.engines[0], [], []
        for kernel in site.kernels:
            kernel.unforeseen.on_error(errors.append)
        report = odd._report
        odd._report = lambda: report() | {"kv-used": 1e308}
        sink = logger.add(lambda message: lines.append(message.record["message"]))
        await site.until(lambda: errors or "report_unreadable" in lines)
        await trio.sleep(0.5)
        logger.remove(sink)
        check.assertEqual(errors, [])
        reader = await start_reader(site, "s-1", 3)
        await reader.ended.wait()
        check.assertFalse(reader.broken)


@on_real_clock
async def test_a_keep_alive_time_of_many_digits_loses_no_answer():
    # Guards against a time that is no float, or no integer to Python, after a complete answer.
    async with platform_site(plain=1) as site:
        for digits in (12, 400, 5_000):
            header = (b"keep-alive", b"max=5, timeout=" + b"9" * digits)
            site.plain[0].signal_headers = lambda header=header: (header,)
            for path in ("/notes/1", "/holds/1"):
                head, _ = await site.call(path, f"a-{digits}-{path[1]}", method=b"POST")
                check.assertEqual(head.status, 200)
