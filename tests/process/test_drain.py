"""A planned stop of an entry, as a real process with requests in progress."""

import json
import signal

import trio

from tests.process.deployment import open_simple_deployment
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

TOKENS = 700
"""Some 14 s at 20 ms each; with this deployment's settings a draining entry accepts new requests
for 6 s."""
CALL_S = 9.0


class Caller:
    """Makes one stream and one call at an entry, and records their results."""

    def __init__(self, deployment, number):
        self._client = deployment.client
        self._url = deployment.url(number)
        self.sequences = []
        self.ended = False
        self.answer = None
        self.started = trio.Event()

    async def stream(self):
        """Read a stream to its end."""
        body = {
            "model": "story",
            "input": f"a story tokens:{TOKENS}",
            "stream": True,
            "max_output_tokens": TOKENS,
        }
        async with self._client.stream("POST", f"{self._url}/v1/responses", json=body) as response:
            async for line in response.aiter_lines():
                if line.startswith("data:"):
                    self._on_event(json.loads(line.removeprefix("data:")))

    async def call(self):
        """Make a non-idempotent call."""
        self.answer = await self._client.post(
            f"{self._url}/services/holds/seats", headers={"Idempotency-Key": "k-1"}, content=b"{}"
        )

    def _on_event(self, event):
        if event["type"] == "response.output_text.delta":
            self.sequences.append(event["sequence_number"])
            self.started.set()
        if event["type"] == "response.completed":
            self.ended = True


@on_real_clock
async def test_a_planned_stop_cuts_neither_a_long_stream_nor_a_slow_call():
    # The operator stops an entry during a long stream and a seat hold, and sends SIGTERM a second
    # time. If the second signal ended the process, the stream would be truncated and the caller
    # would not know whether the seats are held. New requests are refused once the lists of entries
    # that callers hold have expired, with a time to retry; other entries are listed to the end.
    async with open_simple_deployment(entries=2, call_delay_s=CALL_S) as deployment:
        caller = Caller(deployment, 0)
        entry = deployment.process_by_name["entry-0"]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.stream)
            await caller.started.wait()
            nursery.start_soon(caller.call)
            await trio.sleep(1)
            entry.send_signal(signal.SIGTERM)
            await trio.sleep(1)
            entry.send_signal(signal.SIGTERM)
            refused, entries_response = await refusal_and_entries(deployment)
        check.assertEqual(caller.sequences, sorted(set(caller.sequences)))
        check.assertEqual(len(caller.sequences), TOKENS)
        check.assertTrue(caller.ended)
        check.assertEqual(caller.answer.status_code, 201)
        check.assertEqual(refused.status_code, 503)
        check.assertEqual(refused.json()["error"]["code"], "draining")
        check.assertGreaterEqual(int(refused.headers["Retry-After"]), 1)
        check.assertEqual(
            [row["instance"] for row in entries_response.json()["entries"]], ["entry-1"]
        )
        repeating = Caller(deployment, 1)
        await repeating.call()
        check.assertEqual(repeating.answer.json(), caller.answer.json())
        check.assertEqual(await deployment.exit_code("entry-0"), 0)


async def refusal_and_entries(deployment):
    """Send requests until the draining entry refuses one; return the refusal and its entry list."""
    url = deployment.url(0)
    body = {"model": "story", "input": "a story tokens:1", "max_output_tokens": 1}
    while True:
        answer = await deployment.client.post(f"{url}/v1/responses", json=body)
        # The account's limits home may change meanwhile, and the new one grants nothing at first.
        if answer.status_code not in (200, 429):
            return answer, await deployment.client.get(f"{url}/v1/entries")
        await trio.sleep(0.3)
