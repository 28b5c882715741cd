"""Streams through real processes: a killed entry, an unresponsive connection, a caller that never
reads, and the `openai` client."""

import socket

import httpx
import openai
import trio

from tests.process.deployment import ACCOUNT, MODEL, open_deployment
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())


async def read(events, limit=None):
    """Read events, at most `limit`."""
    rows = []
    async for event in events:
        rows.append(event)
        if limit is not None and len(rows) >= limit:
            break
    return rows


def numbers(rows):
    return [row["sequence_number"] for row in rows]


def deltas(rows):
    return [row["delta"] for row in rows if "delta" in row]


@on_real_clock
async def test_a_stream_is_resumed_at_another_entry_after_its_owner_was_killed():
    # The entry is killed with SIGKILL when the caller has 20 events. The caller connects to another
    # entry with the session id and its last event number, and gets the rest of the same generation.
    async with open_deployment(entries=2) as deployment:
        async with deployment.stream(100) as events:
            first = await read(events, 20)
            deployment.kill("entry-0")
        session_id = first[0]["response"]["id"]
        after = numbers(first)[-1]
        async with deployment.resume_stream(session_id, after, "entry-1") as events:
            rest = await read(events)
        check.assertEqual(numbers(first + rest), list(range(102)))
        check.assertEqual(rest[-1]["response"]["usage"]["output_tokens"], 100)
        check.assertEqual(rest[-1]["response"]["status"], "completed")


@on_real_clock
async def test_an_unresponsive_connection_is_replaced_by_a_new_one():
    # A device between entry and engine loses its table of connections: the open ones carry nothing
    # more, and new ones work. The caller gets every token once, from one generation.
    async with open_deployment(entries=1, relays=True) as deployment:
        relay = deployment.relay_by_engine["engine-0"]
        async with deployment.stream(100) as events:
            first = await read(events, 20)
            relay.silence_open_connections()
            rest = await read(events)
        check.assertEqual(numbers(first + rest), list(range(102)))
        check.assertIn("session_silent", deployment.log("entry-0"))
        check.assertNotIn("session_rerun", deployment.log("entry-0"))


@on_real_clock
async def test_a_generation_lost_after_delivery_is_reported_with_its_token_count():
    # The engine dies when the caller has 20 tokens. The stream ends with a failed event that states
    # how many were delivered, and does not continue with another engine's text.
    async with open_deployment(entries=1, engines=2) as deployment:
        async with deployment.stream(500) as events:
            first = await read(events, 21)
            for name in ("engine-0", "engine-1"):
                deployment.kill(name)
            rest = await read(events)
        last = rest[-1]
        check.assertEqual(last["type"], "response.failed")
        check.assertEqual(last["response"]["error"]["code"], "generation-lost")
        tokens = len(deltas(first + rest))
        check.assertEqual(last["response"]["problem"]["delivered_tokens"], tokens)


@on_real_clock
async def test_an_answer_that_is_not_streamed_survives_the_end_of_its_engine():
    # The engine of an answer that is not streamed is killed in the middle. Nothing was delivered,
    # so another engine runs the request and the caller gets one answer.
    async with open_deployment(entries=1, engines=2) as deployment, trio.open_nursery() as nursery:
        answers = []

        async def request():
            body = {"model": MODEL, "input": "a story tokens:60"}
            url = f"{deployment.url()}/v1/responses"
            answers.append(
                await deployment.client.post(url, json=body, headers=deployment.headers())
            )

        nursery.start_soon(request)
        deployment.kill(await busy_engine(deployment))
        while not answers:
            await trio.sleep(0.05)
        check.assertEqual(answers[0].status_code, 200, answers[0].text)
        body = answers[0].json()
        check.assertEqual(body["usage"]["output_tokens"], 60)
        check.assertEqual(len(body["output"][0]["content"][0]["text"].split()), 60)


async def busy_engine(deployment):
    """Wait until an engine runs a generation; return its name."""
    while True:
        for name in ("engine-0", "engine-1"):
            report = (await deployment.client.get(f"{deployment.url(name)}/metrics")).text
            if "vllm:num_requests_running 1" in report:
                return name
        await trio.sleep(0.05)


@on_real_clock
async def test_a_caller_that_never_reads_is_disconnected_and_its_generation_cancelled():
    # The caller sends a request, keeps its connection open and reads nothing. Its receive buffer
    # and the entry's send buffer fill up; the kernel closes the connection after `send_timeout_s`,
    # the entry logs that the session is abandoned, and the generation ends at its engine.
    options = {"step_s": 0.001, "send_timeout_s": 1, "resume_window_s": 0}
    async with open_deployment(entries=1, **options) as deployment:
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.connect((deployment.host("entry-0"), 8080))
            body = b'{"model": "story", "input": "tokens:30000", "stream": true}'
            head = (
                f"POST /v1/responses HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
                f"Authorization: {deployment.headers()['Authorization']}\r\n\r\n"
            )
            caller.sendall(head.encode() + body)
            while "session_abandoned" not in deployment.log("entry-0"):
                await trio.sleep(0.2)
        while "vllm:num_requests_running 0" not in await engine_report(deployment):
            await trio.sleep(0.2)
        async with deployment.stream(5) as events:
            check.assertEqual(numbers(await read(events)), list(range(7)))


async def engine_report(deployment):
    return (await deployment.client.get(f"{deployment.url('engine-0')}/metrics")).text


@on_real_clock
async def test_the_openai_client_creates_streams_resumes_and_cancels():
    async with open_deployment(entries=2) as deployment:
        first_client, second_client = (_client(deployment, name) for name in ("entry-0", "entry-1"))
        async with first_client, second_client:
            whole = await first_client.responses.create(model=MODEL, input="a story tokens:20")
            check.assertEqual(whole.status, "completed")
            check.assertEqual(len(whole.output_text.split()), 20)

            stream = await first_client.responses.create(
                model=MODEL, input="a story tokens:80", stream=True, max_output_tokens=60
            )
            first = [event async for event in first_events(stream, 15)]
            await stream.close()
            session_id = first[0].response.id
            after = first[-1].sequence_number
            resumed = await second_client.responses.retrieve(
                session_id, stream=True, starting_after=after
            )
            rest = [event async for event in resumed]
            check.assertEqual([e.sequence_number for e in first + rest], list(range(62)))
            check.assertEqual(rest[-1].type, "response.completed")

            stream = await first_client.responses.create(
                model=MODEL, input="a story tokens:5000", stream=True
            )
            first = [event async for event in first_events(stream, 5)]
            status = await second_client.responses.retrieve(first[0].response.id)
            check.assertEqual(status.status, "in_progress")
            cancelled = await second_client.responses.cancel(first[0].response.id)
            check.assertEqual(cancelled.status, "cancelled")
            rest = [event async for event in stream]
            check.assertEqual(rest[-1].type, "response.failed")
            check.assertEqual(rest[-1].response.error.code, "generation-cancelled")


@on_real_clock
async def test_the_openai_client_gets_errors_of_the_listed_kinds():
    async with open_deployment(entries=1) as deployment:
        async with _client(deployment, "entry-0") as client:
            with check.assertRaises(openai.NotFoundError) as caught:
                await client.responses.create(model="no-such", input="x")
            check.assertEqual(caught.exception.code, "unknown-model")
        wrong = openai.AsyncOpenAI(
            api_key="wrong",
            base_url=f"{deployment.url()}/v1",
            max_retries=0,
            http_client=_plain_http(),
        )
        async with wrong:
            with check.assertRaises(openai.AuthenticationError) as caught:
                await wrong.responses.create(model=MODEL, input="x")
            check.assertEqual(caught.exception.code, "unauthenticated")


def _client(deployment, entry):
    return openai.AsyncOpenAI(
        api_key=deployment.key_by_account[ACCOUNT],
        base_url=f"{deployment.url(entry)}/v1",
        max_retries=0,
        http_client=_plain_http(),
    )


def _plain_http():
    return httpx.AsyncClient(trust_env=False, timeout=60)


async def first_events(stream, limit):
    received = 0
    async for event in stream:
        yield event
        received += 1
        if received == limit:
            return
