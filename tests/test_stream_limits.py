"""Limits of the streams in progress while engines are too slow for all of them."""

from random import Random

import trio

from egretstack.http1 import UpstreamBroken, first_value
from egretstack.ids import ServiceName
from egretstack.relay import StreamLimits
from egretstack.services.store_reading import StoreReading
from standins.platform import GENERATION
from tests.platform_site import platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

LLM = ServiceName("llm")
TICK_S = 0.05
DEADLINE_S = 5.0
EVENTS = 60
GAP_S = 0.02
"""Time between two events without load."""


class Play:
    """Streams of one instance on engines that generate a number of events a second together."""

    def __init__(self, *, limited=True, seed=1):
        self.limits = StreamLimits()
        self.now_s = 0.0
        self.whole = self.late = self.refused = 0
        self.events_per_s = 1_000.0
        self._rng = Random(seed)
        self._limited = limited
        self._progress_by_stream = {}

    def play(self, seconds, per_s, rank=0):
        """Send streams for some time; return the share of those that ended whole."""
        self.whole = self.late = self.refused = 0
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += TICK_S
            if self._rng.random() < per_s * TICK_S:
                self._start(rank)
            self._generate()
        return self.whole / max(1, self.whole + self.late + self.refused)

    def _start(self, rank):
        if self._limited and self.limits.refuse(self.now_s, LLM, rank) is not None:
            self.refused += 1
            return
        stream = self.limits.begin(self.now_s, LLM, rank, self.now_s + DEADLINE_S)
        self._progress_by_stream[stream] = 0.0

    def _generate(self):
        each = min(1 / GAP_S, self.events_per_s / max(1, len(self._progress_by_stream))) * TICK_S
        for stream, before in list(self._progress_by_stream.items()):
            after = self._progress_by_stream[stream] = before + each
            if new := int(after) - int(before):
                self.limits.record_events(self.now_s, stream, new)
            stream.is_whole = after >= EVENTS
            if stream.is_whole or self.now_s >= stream.deadline_s:
                self.whole += stream.is_whole
                self.late += not stream.is_whole
                del self._progress_by_stream[stream]
                self.limits.end(self.now_s, stream)


def test_streams_on_slow_engines_end_whole_instead_of_late():
    # Guards against engines that are filled with streams which all run until their deadline.
    for slow_per_s in (400.0, 200.0):
        shares = []
        for limited in (False, True):
            play = Play(limited=limited)
            check.assertEqual(play.play(20.0, 12.0), 1.0)
            play.events_per_s = slow_per_s
            play.play(20.0, 12.0)
            shares.append(play.play(60.0, 12.0))
        possible = slow_per_s / EVENTS / 12.0
        check.assertLess(shares[0], 0.1)
        check.assertGreater(shares[1], 0.7 * possible)


def test_streams_are_limited_before_the_first_one_is_late():
    # Guards against engines that are full of late streams by the time at which that is seen.
    play = Play()
    play.play(20.0, 12.0)
    play.events_per_s = 300.0
    play.play(3.5, 12.0)
    check.assertEqual(play.late, 0)
    check.assertEqual(play.limits.limited_count(), 1)


def test_the_limit_ends_with_the_load():
    # Guards against refusals of streams for which the engines are fast enough again.
    play = Play()
    play.play(20.0, 12.0)
    play.events_per_s = 300.0
    play.play(30.0, 12.0)
    check.assertGreater(play.refused, 0)
    play.events_per_s = 1_000.0
    play.play(40.0, 12.0)
    check.assertEqual(play.play(20.0, 12.0), 1.0)
    check.assertEqual(play.limits.limited_count(), 0)


def test_more_streams_than_usual_are_not_limited_while_they_end():
    # Guards against a limit by numbers alone.
    play = Play()
    play.play(10.0, 4.0)
    check.assertEqual(play.play(30.0, 14.0), 1.0)


def end_late(limits, now_s, gap_s, pause_s=0.0):
    """End a stream at its deadline, after events at a steady gap and then a pause."""
    stream = limits.begin(now_s, LLM, 0, now_s + DEADLINE_S)
    at_s = now_s
    while at_s < now_s + DEADLINE_S - pause_s:
        at_s += gap_s
        limits.record_events(at_s, stream, 1)
    limits.end(now_s + DEADLINE_S, stream)


def end_whole(limits, now_s):
    stream = limits.begin(now_s, LLM, 0, now_s + DEADLINE_S)
    for number in range(EVENTS):
        limits.record_events(now_s + GAP_S * number, stream, 1)
    stream.is_whole = True
    limits.end(now_s + GAP_S * EVENTS, stream)


def test_only_slow_engines_limit_streams():
    # Guards against a limit for streams that are long, or stall, which fewer others do not help.
    for gap_s, pause_s, limited in ((GAP_S, 0.0, 0), (GAP_S, 2.0, 0), (5 * GAP_S, 0.0, 1)):
        limits = StreamLimits()
        end_whole(limits, 0.0)
        for number in range(20):
            end_late(limits, 10.0 + 6.0 * number, gap_s, pause_s)
        check.assertEqual(limits.limited_count(), limited, (gap_s, pause_s))


def test_streams_that_clients_leave_do_not_limit_others():
    # Guards against a limit because callers gave up early.
    limits = StreamLimits()
    for number in range(20):
        stream = limits.begin(float(number), LLM, 0, number + DEADLINE_S)
        limits.record_events(number + 0.1, stream, 1)
        limits.record_events(number + 0.4, stream, 1)
        limits.end(number + 0.5, stream)
    check.assertEqual(limits.limited_count(), 0)


def test_urgent_streams_are_refused_last():
    # Guards against refusals of urgent streams beside less urgent ones that are accepted.
    limits = StreamLimits()
    for number in range(8):
        end_late(limits, 6.0 * number, 5 * GAP_S)
    check.assertEqual(limits.limited_count(), 1)
    now_s = 50.0
    while limits.refuse(now_s, LLM, 1) is None:
        limits.begin(now_s, LLM, 1, now_s + DEADLINE_S)
    check.assertIsNone(limits.refuse(now_s, LLM, 0))


@on_real_clock
async def test_a_stream_that_slow_engines_cannot_finish_is_refused_at_once():
    # Guards against callers who wait until their deadline for a stream that cannot end.
    async with platform_site(plain=0, engines=1) as site:
        [engine] = site.engines
        engine.events, engine.gap_s = 1_000, 0.1
        site.routes[2]["timeout-ms"] = 600
        version = site.configure()
        await site.until(lambda: site.kernels[0].get(StoreReading).gate.version == version)

        statuses = []

        async def send(number):
            try:
                head, _ = await site.call(
                    "/plans/1", f"s-{number}", method=b"POST", headers=GENERATION
                )
            except UpstreamBroken:
                return
            statuses.append((head.status, first_value(head.headers, b"retry-after")))

        for number in range(6):
            async with trio.open_nursery() as nursery:
                for part in range(4):
                    nursery.start_soon(send, f"{number}-{part}")
        check.assertEqual({status for status, _ in statuses}, {503})
        check.assertTrue(all(float(retry_after) > 0 for _, retry_after in statuses))
