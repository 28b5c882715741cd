"""Faults caused by real signals to real processes, which tests on a mock clock only simulate.

A killed entry and an unresponsive engine connection during a stream are in `test_streams`.
"""

from contextlib import contextmanager

import httpx
import trio

from tests.process.deployment import open_deployment
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

TOKENS = 200
CALL_S = 3.0
CLIENT_TIMEOUT_S = 6.0
PAUSED_S = 20.0
"""Longer than the timeouts between instances, and than the maximum age of an intent when its call
is sent."""
UNAVAILABLE_S = 15.0
"""Represents a minute: longer than every timeout towards the platform and than its breaker stays
open."""
FINAL_TIMEOUT_S = 60.0


@contextmanager
def paused(deployment, name):
    """Pause a process of the deployment within the block."""
    deployment.pause(name)
    try:
        yield
    finally:
        deployment.resume(name)


async def hold_seat(deployment, number, key):
    """Request a seat hold; return the answer, or None if none came in time."""
    try:
        return await deployment.client.post(
            f"{deployment.url(number)}/services/holds/seats",
            headers=deployment.headers() | {"Idempotency-Key": key},
            content=b"{}",
            timeout=CLIENT_TIMEOUT_S,
        )
    except httpx.HTTPError:
        return None


async def final_answer(deployment, number, key):
    """Repeat a seat hold while the answer has a Retry-After; return the last answer."""
    with trio.fail_after(FINAL_TIMEOUT_S):
        while True:
            answer = await hold_seat(deployment, number, key)
            if answer is not None and "Retry-After" not in answer.headers:
                return answer
            await trio.sleep(1)


async def read_stream(deployment, sequences):
    """Read a stream of TOKENS tokens; append the number of each to `sequences`."""
    async with deployment.stream(TOKENS) as events:
        async for event in events:
            if event["type"] == "response.output_text.delta":
                sequences.append(event["sequence_number"])


@on_real_clock
async def test_a_seat_hold_runs_once_though_its_entry_was_stopped_and_went_on():
    # The entry is paused with SIGSTOP during a seat hold, for longer than every timeout. The caller
    # repeats the hold at another entry, and again after the first has resumed. It must not run
    # twice: the next hold, under a new key, is the second one that the service counts.
    async with open_deployment(entries=2, plain=1, call_delay_s=CALL_S) as deployment:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hold_seat, deployment, 0, "k-1")
            await trio.sleep(CALL_S / 3)
            with paused(deployment, "entry-0"):
                meanwhile = await hold_seat(deployment, 1, "k-1")
                await trio.sleep(PAUSED_S)
        check.assertNotEqual(meanwhile.json().get("run"), "not-run")
        last = await final_answer(deployment, 1, "k-1")
        check.assertIn(last.status_code, (201, 502))
        if last.status_code == 201:
            check.assertEqual(last.json().get("hold"), "hold-1")
        fresh = await final_answer(deployment, 1, "k-2")
        check.assertEqual(fresh.json()["hold"], "hold-2")


@on_real_clock
async def test_streams_work_and_seat_holds_are_refused_while_the_store_is_unavailable():
    # The platform's store does not answer. A stream starts and ends as usual. A seat hold is
    # refused with a time to retry, and once the store answers again the same key runs.
    async with open_deployment(entries=1, plain=1, step_s=0.02) as deployment:
        # The account's limits home grants nothing for a moment after its start.
        await final_answer(deployment, 0, "warm")
        with paused(deployment, "platform"):
            sequences = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read_stream, deployment, sequences)
                refused = await hold_seat(deployment, 0, "k-1")
            await trio.sleep(UNAVAILABLE_S)
            again = await hold_seat(deployment, 0, "k-1")
        check.assertEqual(sequences, list(range(1, TOKENS + 1)))
        for answer in (refused, again):
            check.assertEqual(answer.status_code, 503, answer.text)
            check.assertIn("Retry-After", answer.headers)
            check.assertEqual(answer.json()["run"], "attempt-not-run")
        last = await final_answer(deployment, 0, "k-1")
        check.assertEqual(last.status_code, 201)
        check.assertEqual(last.json()["hold"], "hold-2")
