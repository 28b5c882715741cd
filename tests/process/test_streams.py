"""Streams through real processes: an entry killed, a connection gone silent, a caller that never
reads, and the `openai` client."""

import socket

import httpx
import openai
import trio

from tests.process.site import ACCOUNT, MODEL, process_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())


async def read(events, most=None):
    """Read events; stop after `most`."""
    rows = []
    async for event in events:
        rows.append(event)
        if most is not None and len(rows) >= most:
            break
    return rows


def numbers(rows):
    return [row["sequence_number"] for row in rows]


def deltas(rows):
    return [row["delta"] for row in rows if "delta" in row]


@on_real_clock
async def test_a_stream_is_resumed_at_another_entry_after_its_owner_was_killed():
    # The entry is killed with SIGKILL when the caller has 20 events. The caller connects to
    # another entry with the id and its last number, and gets the rest of the same generation.
    async with process_site(entries=2) as site:
        async with site.stream(100) as events:
            first = await read(events, 20)
            site.kill("entry-0")
        session_id = first[0]["response"]["id"]
        after = numbers(first)[-1]
        async with site.resumed(session_id, after, "entry-1") as events:
            rest = await read(events)
        check.assertEqual(numbers(first + rest), list(range(102)))
        check.assertEqual(rest[-1]["response"]["usage"]["output_tokens"], 100)
        check.assertEqual(rest[-1]["response"]["status"], "completed")


@on_real_clock
async def test_a_connection_gone_silent_is_replaced_by_a_new_one():
    # Something between entry and engine forgets the open connections: they stay open and carry
    # nothing, new ones work. The caller gets every token once, from the one generation.
    async with process_site(entries=1, relays=True) as site:
        relay = site.relay_by_engine["engine-0"]
        async with site.stream(100) as events:
            first = await read(events, 20)
            relay.forget_open_connections()
            rest = await read(events)
        check.assertEqual(numbers(first + rest), list(range(102)))
        check.assertIn("session_silent", site.log("entry-0"))
        check.assertNotIn("session_rerun", site.log("entry-0"))


@on_real_clock
async def test_an_engine_killed_after_delivery_is_told_with_the_count():
    # The engine dies when the caller has 20 tokens. The stream ends with a failed event that
    # says how many were delivered, and not with a second engine's text.
    async with process_site(entries=1, engines=2) as site:
        async with site.stream(500) as events:
            first = await read(events, 21)
            for name in ("engine-0", "engine-1"):
                site.kill(name)
            rest = await read(events)
        last = rest[-1]
        check.assertEqual(last["type"], "response.failed")
        check.assertEqual(last["response"]["error"]["code"], "generation-lost")
        tokens = len(deltas(first + rest))
        check.assertEqual(last["response"]["problem"]["delivered_tokens"], tokens)


@on_real_clock
async def test_an_answer_not_streamed_survives_its_engine():
    # The engine that runs a whole answer is killed in the middle; nothing was delivered, so
    # another engine runs it and the caller sees one answer.
    async with process_site(entries=1, engines=2) as site, trio.open_nursery() as nursery:
        answers = []

        async def ask():
            body = {"model": MODEL, "input": "a story tokens:60"}
            url = f"{site.url()}/v1/responses"
            answers.append(await site.client.post(url, json=body, headers=site.headers()))

        nursery.start_soon(ask)
        site.kill(await busy_engine(site))
        while not answers:
            await trio.sleep(0.05)
        check.assertEqual(answers[0].status_code, 200, answers[0].text)
        body = answers[0].json()
        check.assertEqual(body["usage"]["output_tokens"], 60)
        check.assertEqual(len(body["output"][0]["content"][0]["text"].split()), 60)


async def busy_engine(site):
    """Wait until an engine runs something; give its name."""
    while True:
        for name in ("engine-0", "engine-1"):
            report = (await site.client.get(f"{site.url(name)}/metrics")).text
            if "vllm:num_requests_running 1" in report:
                return name
        await trio.sleep(0.05)


@on_real_clock
async def test_a_caller_that_never_reads_is_cut_off_and_its_generation_ended():
    # The caller sends a request and reads nothing, with its connection open. Its receive buffer
    # and ours fill up; the kernel closes the connection after the time allowed, the entry
    # notes it and the generation ends at its engine.
    options = {"step_s": 0.001, "send_timeout_s": 1, "resume_window_s": 0}
    async with process_site(entries=1, **options) as site:
        with socket.socket() as silent:
            silent.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            silent.connect((site.host("entry-0"), 8080))
            body = b'{"model": "story", "input": "tokens:30000", "stream": true}'
            head = (
                f"POST /v1/responses HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
                f"Authorization: {site.headers()['Authorization']}\r\n\r\n"
            )
            silent.sendall(head.encode() + body)
            while "session_abandoned" not in site.log("entry-0"):
                await trio.sleep(0.2)
        while "vllm:num_requests_running 0" not in await _report(site):
            await trio.sleep(0.2)
        async with site.stream(5) as events:
            check.assertEqual(numbers(await read(events)), list(range(7)))


async def _report(site):
    return (await site.client.get(f"{site.url('engine-0')}/metrics")).text


@on_real_clock
async def test_the_openai_client_creates_streams_resumes_and_cancels():
    async with process_site(entries=2) as site:
        one, two = (_client(site, name) for name in ("entry-0", "entry-1"))
        async with one, two:
            whole = await one.responses.create(model=MODEL, input="a story tokens:20")
            check.assertEqual(whole.status, "completed")
            check.assertEqual(len(whole.output_text.split()), 20)

            stream = await one.responses.create(
                model=MODEL, input="a story tokens:80", stream=True, max_output_tokens=60
            )
            first = [event async for event in _taken(stream, 15)]
            await stream.close()
            session_id = first[0].response.id
            after = first[-1].sequence_number
            resumed = await two.responses.retrieve(session_id, stream=True, starting_after=after)
            rest = [event async for event in resumed]
            check.assertEqual([e.sequence_number for e in first + rest], list(range(62)))
            check.assertEqual(rest[-1].type, "response.completed")

            stream = await one.responses.create(
                model=MODEL, input="a story tokens:5000", stream=True
            )
            first = [event async for event in _taken(stream, 5)]
            status = await two.responses.retrieve(first[0].response.id)
            check.assertEqual(status.status, "in_progress")
            cancelled = await two.responses.cancel(first[0].response.id)
            check.assertEqual(cancelled.status, "cancelled")
            rest = [event async for event in stream]
            check.assertEqual(rest[-1].type, "response.failed")
            check.assertEqual(rest[-1].response.error.code, "generation-cancelled")


@on_real_clock
async def test_the_openai_client_gets_errors_of_the_listed_kinds():
    async with process_site(entries=1) as site:
        async with _client(site, "entry-0") as client:
            with check.assertRaises(openai.NotFoundError) as caught:
                await client.responses.create(model="no-such", input="x")
            check.assertEqual(caught.exception.code, "unknown-model")
        wrong = openai.AsyncOpenAI(
            api_key="wrong", base_url=f"{site.url()}/v1", max_retries=0, http_client=_plain_http()
        )
        async with wrong:
            with check.assertRaises(openai.AuthenticationError) as caught:
                await wrong.responses.create(model=MODEL, input="x")
            check.assertEqual(caught.exception.code, "unauthenticated")


def _client(site, entry):
    return openai.AsyncOpenAI(
        api_key=site.key_by_account[ACCOUNT],
        base_url=f"{site.url(entry)}/v1",
        max_retries=0,
        http_client=_plain_http(),
    )


def _plain_http():
    return httpx.AsyncClient(trust_env=False, timeout=60)


async def _taken(stream, most):
    taken = 0
    async for event in stream:
        yield event
        taken += 1
        if taken == most:
            return
