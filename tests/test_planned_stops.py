"""Planned stops of complete entries, from the clients' view."""

from itertools import count

import trio

from egretstack.http1 import ConnectFailed, UpstreamBroken
from standins.platform import GENERATION
from tests.platform_site import platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())


@on_real_clock
async def test_calls_on_connections_that_clients_use_until_the_process_has_ended_are_answered():
    # Guards against calls that are aborted when a leaving instance ends.
    async with platform_site(plain=2) as site:
        for runner in site.plain:
            runner.delay_s = 0.3
        unanswered = []

        async def call_until_refused(client):
            for number in count():
                attempt = f"c-{client}-{number}"
                try:
                    await site.call("/holds/1", attempt, method=b"POST")
                except ConnectFailed:
                    return
                except UpstreamBroken:
                    unanswered.append(attempt)

        async with trio.open_nursery() as nursery:
            for client in range(4):
                nursery.start_soon(call_until_refused, client)
            await trio.sleep(0.1)
            site.kernels[0].begin_drain()
        ran = [
            attempt
            for attempt in unanswered
            if any(runner.runs_by_attempt[attempt] for runner in site.plain)
        ]
        check.assertEqual(ran, [])


@on_real_clock
async def test_requests_that_outlast_the_grace_period_are_answered_before_the_process_ends():
    # Guards against clients whose connection closes without an answer, though the request may run.
    async with platform_site(plain=2, engines=1) as site:
        for runner in site.plain:
            runner.delay_s = 4.0
        site.engines[0].delays_head = True
        answers = {}

        async def call(path, attempt, headers=()):
            try:
                head, _ = await site.call(path, attempt, method=b"POST", headers=headers)
                answers[attempt] = head.status
            except UpstreamBroken as error:
                answers[attempt] = str(error)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, "/holds/1", "hold")
            nursery.start_soon(call, "/notes/1", "note")
            nursery.start_soon(call, "/plans/1", "plan", GENERATION)
            runners = [*site.plain, *site.engines]
            await site.until(lambda: sum(len(runner.heads) for runner in runners) == 3)
            site.kernels[0].begin_drain()
        check.assertEqual(answers, {"hold": 504, "note": 504, "plan": 504})
