"""Runners that stop within an answer, as the clients of a whole entry see them."""

import json
from dataclasses import dataclass
from itertools import count

from egretstack.http1 import first_value
from standins.platform import EngineStandIn, PlainStandIn, route
from tests.crash_site import is_known
from tests.platform_site import free_loopback_net, platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of
from tests.test_stream_resuming import configure

load_tests = tests_of(globals())

HEAD = b"HTTP/1.1 200 OK\r\nattempt-id: %s\r\nrunner-seal: seal.x\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n"
TEXT = b'{"answer": "whole"}'
EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
MARKS = (
    b"attempt-id: ",
    b"runner-seal: ",
    b"content-length: ",
    b"transfer-encoding: ",
    b"close\r\n",
)


def framings(body):
    """Return how an answer goes on after its first headers, by how its body is framed."""
    half = len(body) // 2
    chunks = b"%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n"
    return {
        "length": b"content-length: %d\r\n\r\n%s" % (len(body), body),
        "chunks": b"transfer-encoding: chunked\r\n\r\n"
        + chunks % (half, body[:half], len(body) - half, body[half:]),
        "unframed": b"connection: close\r\n\r\n" + body,
    }


@dataclass(frozen=True)
class Cut:
    """What a runner sends of its answer to an attempt."""

    name: str
    attempt: str
    data: bytes
    is_reset: bool
    has_head: bool


def positions(answer, head_size):
    """Return positions in each part of an answer's head and framing."""
    found = {0, 4, 9, 12, 15, *range(head_size - 4, head_size + 4)}
    for mark in MARKS:
        start = answer.find(mark)
        if start >= 0:
            found |= {start, start + 5, start + len(mark), start + len(mark) + 1}
    return found | set(range(len(answer) - 9, len(answer)))


def cuts(body, interim=b""):
    """Return answers that are cut off, in all framings, by a close and by a reset.

    An unframed body that is not reset ends anywhere in a proper way.
    """
    numbers = count()
    for framing, rest in framings(body).items():
        for is_reset in (False, True):
            attempt = f"{framing[0]}{is_reset:d}-{next(numbers):04}"
            head_size = len(interim + HEAD % attempt.encode()) + rest.index(b"\r\n\r\n") + 4
            for cut in sorted(positions(interim + HEAD % attempt.encode() + rest, head_size)):
                if framing == "unframed" and not is_reset and cut >= head_size:
                    break
                attempt = f"{framing[0]}{is_reset:d}-{next(numbers):04}"
                data = (interim + HEAD % attempt.encode() + rest)[:cut]
                yield Cut(f"{framing} {cut}", attempt, data, is_reset, cut >= head_size)


class CutRunner:
    """Cuts its answers to the next requests of clients off."""

    next_cuts: list[Cut]
    cut_header = b"attempt-id"
    """Header of the requests whose answers are cut off."""

    async def answer(self, connection, head, body):
        """Answer one request."""
        attempt = first_value(head.headers, b"attempt-id")
        if first_value(head.headers, self.cut_header) is None or not self.next_cuts:
            await super().answer(connection, head, body)
            return
        self.runs_by_attempt[attempt.decode()] += 1
        cut = self.next_cuts.pop(0)
        await connection.send_raw(cut.data)
        if cut.is_reset:
            connection.abort()
        else:
            connection.close()


class CutPlain(CutRunner, PlainStandIn):
    """A plain runner that stops within answers."""


class CutEngine(CutRunner, EngineStandIn):
    """An engine that stops within answers."""


class CutContinuation(CutEngine):
    """An engine that stops within its answers to requests to continue a run."""

    cut_header = b"kv-from"


async def add_runners(site, kind, number):
    """Start runners that share the next answers to be cut off; return them once they are known."""
    runners, next_cuts = [], []
    service, net = ("desk", 2) if kind is CutPlain else ("llm", 3)
    for index in range(number):
        runner = kind(
            f"127.{free_loopback_net()}.{net}.{50 + index}:8080", f"i-cut-{service}-{index}"
        )
        runner.next_cuts = next_cuts
        await site.nursery.start(runner.run)
        site.register(runner.runner_id, service, runner.address)
        await site.until(lambda runner=runner: is_known(site, runner.runner_id))
        runners.append(runner)
    return runners


def runs(runners, attempt):
    """Return how many runs of an attempt were started."""
    return sum(runner.runs_by_attempt[attempt] for runner in runners)


@on_real_clock
async def test_a_cut_answer_is_no_success_and_says_that_the_request_may_have_run():
    # Guards against a part of an answer that a client takes for all of it, or that counts as a
    # promise that the request has not run.
    async with platform_site(plain=0, engines=1) as site:
        runners = await add_runners(site, CutPlain, 1)
        for interim in (b"", INTERIM):
            for cut in cuts(TEXT, interim):
                runners[0].next_cuts.append(cut)
                head, body = await site.call("/holds/1", cut.attempt, method=b"POST")
                check.assertEqual(head.status, 502, cut)
                check.assertTrue(json.loads(body)["type"].endswith("outcome-unknown"), cut)
                check.assertEqual(runs(runners, cut.attempt), 1, cut)
                runners[0].runs_by_attempt.clear()


@on_real_clock
async def test_a_cut_answer_to_a_request_that_may_run_again_is_got_from_another_runner():
    # Guards against a cut answer that costs a client its request though another runner is sound.
    async with platform_site(plain=0, engines=1) as site:
        runners = await add_runners(site, CutPlain, 2)
        for cut in list(cuts(TEXT))[::4]:
            runners[0].next_cuts.append(cut)
            head, body = await site.call("/notes/1", cut.attempt)
            check.assertEqual((head.status, json.loads(body)["target"]), (200, "/notes/1"), cut)
            check.assertEqual(runs(runners, cut.attempt), 2, cut)


@on_real_clock
async def test_a_cut_stream_does_not_look_complete_and_runs_once():
    # Guards against a stream that ends properly though its runner stopped within its answer.
    async with platform_site(plain=0, engines=1) as site:
        site.store.remove("servers", site.engines[0].runner_id)
        runners = await add_runners(site, CutEngine, 1)
        for cut in cuts(EVENTS):
            runners[0].next_cuts.append(cut)
            reader = await start_reader(site, cut.attempt)
            await reader.ended.wait()
            if cut.has_head:
                check.assertEqual((reader.status, reader.broken), (200, True), cut)
            else:
                check.assertEqual((reader.status, reader.problem), (502, "outcome-unknown"), cut)
            check.assertEqual(reader.ids, list(range(1, len(reader.ids) + 1)), cut)
            check.assertEqual(runs(runners, cut.attempt), 1, cut)


@on_real_clock
async def test_a_cut_stream_that_may_be_resumed_goes_on_at_another_runner():
    # Guards against events that are missing or come twice where a runner stopped in its answer.
    async with platform_site(plain=0, engines=1) as site:
        site.store.remove("servers", site.engines[0].runner_id)
        resumable = {"can-resume": True, "max-attempts": 2}
        await configure(site, [route("plans", "streaming", "llm", **resumable)])
        runners = await add_runners(site, CutEngine, 2)
        for engine in runners:
            engine.events, engine.stores_copies = 4, False
        for cut in list(cuts(EVENTS))[::4]:
            runners[0].next_cuts.append(cut)
            reader = await start_reader(site, cut.attempt)
            await reader.ended.wait()
            check.assertEqual((reader.ids, reader.broken), ([1, 2, 3, 4], False), cut)


def unframed_start(attempt, body=b""):
    """Return an answer with neither a length nor chunks that ends before its first event."""
    data = HEAD % attempt.encode() + b"connection: close\r\n\r\n" + body
    return Cut("before the first event", attempt, data, is_reset=False, has_head=True)


@on_real_clock
async def test_an_unframed_stream_that_ends_before_its_first_event_does_not_look_complete():
    # Guards against an empty stream that ends properly as its runner ended before the first event.
    async with platform_site(plain=0, engines=1) as site:
        site.store.remove("servers", site.engines[0].runner_id)
        runners = await add_runners(site, CutEngine, 1)
        for body in (b"", b": hello\n\n"):
            attempt = f"u-{len(body)}"
            runners[0].next_cuts.append(unframed_start(attempt, body))
            reader = await start_reader(site, attempt)
            await reader.ended.wait()
            check.assertEqual((reader.status, reader.broken, reader.ids), (200, True, []), body)


@on_real_clock
async def test_an_unframed_stream_that_ends_before_its_first_event_is_resumed():
    # Guards against an empty stream where another runner could have sent all of it.
    async with platform_site(plain=0, engines=1) as site:
        site.store.remove("servers", site.engines[0].runner_id)
        resumable = {"can-resume": True, "max-attempts": 2}
        await configure(site, [route("plans", "streaming", "llm", **resumable)])
        runners = await add_runners(site, CutEngine, 2)
        runners[0].next_cuts.append(unframed_start("u-1"))
        reader = await start_reader(site, "u-1")
        await reader.ended.wait()
        check.assertEqual((reader.ids, reader.broken), (list(range(1, 31)), False))


async def read_continued(cut):
    """Return the reader of a stream that breaks off after two events, to continue in a cut."""
    async with platform_site(plain=1) as site:
        runners = await add_runners(site, CutContinuation, 2)
        runners[0].next_cuts.append(cut)
        for engine in runners:
            engine.cuts = runners[0].cuts
        runners[0].cuts.append(2)
        reader = await start_reader(site, cut.attempt)
        await reader.ended.wait()
        check.assertEqual((runners[0].next_cuts, runs(runners, cut.attempt)), ([], 2), cut)
        return reader


@on_real_clock
async def test_a_run_whose_continuation_is_cut_off_does_not_look_complete():
    # Guards against a stream that ends properly after the head of the runner that continued it.
    starts = [unframed_start("u-1"), unframed_start("u-2", b":\n\n")]
    for cut in [*starts, *list(cuts(EVENTS))[::9]]:
        reader = await read_continued(cut)
        check.assertEqual((reader.ids, reader.broken), ([1, 2], True), cut)


@on_real_clock
async def test_events_of_an_encoded_continuation_are_not_the_runs():
    # Guards against events that are taken from a body which is not the runner's.
    body = b"id: 3\ndata: x\n\n"
    encoded = b"content-encoding: gzip\r\ncontent-length: %d\r\n\r\n" % len(body) + body
    cut = Cut("encoded", "e-1", HEAD % b"e-1" + encoded, is_reset=False, has_head=True)
    reader = await read_continued(cut)
    check.assertEqual((reader.ids, reader.broken), ([1, 2], True))


class CutConnection:
    """A connection on which whole answers are cut off."""

    def __init__(self, connection, framing, cut):
        self._connection = connection
        self._framing = framing
        self._cut = cut

    async def send_response(self, head, body):
        """Send the part of an answer up to the cut, counted from its end, and close."""
        answer = b"HTTP/1.1 %d OK\r\n" % head.status
        answer += b"".join(name + b": " + value + b"\r\n" for name, value in head.headers)
        answer += framings(body)[self._framing]
        size = answer.index(b"\r\n\r\n") + 4 if self._cut == AFTER_HEAD else self._cut
        await self._connection.send_raw(answer[:size])
        self._connection.close()


AFTER_HEAD = 0
ORDER_CUTS = [("length", 12), ("chunks", -2), ("unframed", AFTER_HEAD)]
"""Framings of answers to orders, and where they are cut off."""


@on_real_clock
async def test_an_answer_whose_seal_is_empty_is_no_success():
    # Guards against an answer without a signature that counts since the header's name is there.
    async with platform_site(plain=0, engines=1) as site:
        site.store.remove("servers", site.engines[0].runner_id)
        plain = await add_runners(site, CutPlain, 1)
        engines = await add_runners(site, CutEngine, 1)
        for framing in framings(TEXT):
            head = (HEAD % framing.encode()).replace(b"seal.x", b"")
            for runner, body in ((plain[0], TEXT), (engines[0], EVENTS)):
                data = head + framings(body)[framing]
                runner.next_cuts.append(Cut(framing, framing, data, is_reset=False, has_head=True))
            answer, _ = await site.call("/holds/1", framing, method=b"POST")
            check.assertEqual(answer.status, 502, framing)
            reader = await start_reader(site, framing)
            await reader.ended.wait()
            check.assertEqual((reader.status, reader.ids), (502, []), framing)


class CutOrders(EngineStandIn):
    """An engine that stops within its answers to orders to stop a run for its move."""

    cut = ("length", 0)

    async def _copy_run(self, connection, request):
        if request["last"]:
            connection = CutConnection(connection, *self.cut)
        await super()._copy_run(connection, request)


@on_real_clock
async def test_a_run_whose_engine_stops_within_its_answers_to_orders_goes_on_once():
    # Guards against a run that was stopped for its move, and whose end then counts as that of the
    # stream, or that is lost since the answer to the order is.
    for cut in ORDER_CUTS:
        async with platform_site(plain=1) as site:
            net = free_loopback_net()
            first = CutOrders(f"127.{net}.3.70:8080", "i-first")
            second = EngineStandIn(f"127.{net}.3.71:8080", "i-second")
            first.cut, first.unframed, first.events, second.events = cut, True, 100, 100
            for engine in (first, second):
                await site.nursery.start(engine.run)
            site.register(first.runner_id, "llm", first.address)
            await site.until(lambda: is_known(site, "i-first"))
            reader = await start_reader(site, "s-1", 3)
            site.register(second.runner_id, "llm", second.address)
            await site.until(lambda: is_known(site, "i-second"))
            site.register(first.runner_id, "llm", first.address, "draining")
            await reader.ended.wait()
            check.assertIn(("s-1", True), first.moves, cut)
            check.assertEqual(len(second.continued), 1, cut)
            check.assertEqual((reader.ids, reader.broken), (list(range(1, 101)), False), cut)
