"""What callers send wrongly: each answered by a listed kind, with nothing lost and nobody else
affected."""

import hashlib
import json
from contextlib import asynccontextmanager

import httpx

from egretstack.contracts import read_contract
from egretstack.errors import ANSWERS, ErrorKind, UserError
from egretstack.services.platform_access import PlatformAccess
from egretstack.services.session_host import SessionHost
from standins.world import PORTS
from tests.support import check, tests_of
from tests.test_world import open_small_deployment, open_story, read_all

load_tests = tests_of(globals())

KEY = "a-key-of-acme"
CONTRACT = {"contract": {"account": "acme", "key_sha256": hashlib.sha256(KEY.encode()).hexdigest()}}
BOUND = 1_048_576


def story(**members):
    return json.dumps({"model": "story", "input": "tokens:5"} | members).encode()


@asynccontextmanager
async def caller_of_site(key=KEY):
    """Give the first entry, and an HTTP client of it that sends `key`."""
    async with open_small_deployment(entries=1, contract=CONTRACT) as (_, entries):
        app = entries[0].access.app_by_address[f"{entries[0].host}:{PORTS['caller']}"]
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        transport = httpx.ASGITransport(app, raise_app_exceptions=False)
        async with httpx.AsyncClient(
            transport=transport, base_url="http://entry", headers=headers
        ) as client:
            yield entries[0], client


def check_problem(answer, kind):
    """Check that an answer is the problem detail of a kind, whole and in its own words."""
    check.assertEqual(answer.status_code, ANSWERS[kind].status, answer.text)
    check.assertEqual(answer.headers["content-type"], "application/problem+json")
    body = answer.json()
    check.assertEqual(body["error"]["code"], kind.value)
    check.assertEqual(body["run"], "not-run")
    check.assertEqual("retry-after" in answer.headers, ANSWERS[kind].retry)
    check.assertNotIn("Traceback", answer.text)


BAD_BODIES = {
    "empty": b"",
    "cut JSON": b'{"model": "story", "input"',
    "not UTF-8": b"\xff\xfe{}",
    "a list": b"[]",
    "a number": b"7",
    "deep": b"[" * 100_000,
    "not a number": b'{"model": "story", "input": "x", "max_output_tokens": NaN}',
    "no model": b'{"input": "x"}',
    "no input": b'{"model": "story"}',
    "empty input": story(input=""),
    "input of numbers": story(input=[1, 2]),
    "too many items": story(input=[{"role": "user", "content": "x"}] * 1001),
    "model that is no name": story(model="../../etc"),
    "negative limit": story(max_output_tokens=-1),
    "limit of zero": story(max_output_tokens=0),
    "limit that is a flag": story(max_output_tokens=True),
    "limit with a fraction": story(max_output_tokens=1.5),
    "limit that is text": story(max_output_tokens="10"),
    "stream that is text": story(stream="yes"),
    "a member not known": story(tools=[]),
}


async def test_a_malformed_request_is_refused_and_leaves_nothing_behind():
    # Each bad body comes while another session of the same account streams. The caller gets
    # 400 with the reason; the other session is whole, and no place of the account stays taken.
    async with caller_of_site() as (entry, client):
        session = await open_story(entry, 30)
        for name, body in BAD_BODIES.items():
            answer = await client.post("/v1/responses", content=body)
            with check.subTest(name):
                check_problem(answer, ErrorKind.BAD_REQUEST)
        check.assertEqual(await read_all(session), list(range(31)))
        check.assertEqual(open_sessions(entry), 0)


async def test_a_body_above_the_bound_is_refused():
    async with caller_of_site() as (entry, client):
        body = story(input="x" * BOUND)
        check_problem(await client.post("/v1/responses", content=body), ErrorKind.BODY_TOO_LARGE)

        async def pieces():
            for _ in range(BOUND // 65_536 + 2):
                yield b"x" * 65_536

        chunked = await client.post("/v1/responses", content=pieces())
        check_problem(chunked, ErrorKind.BODY_TOO_LARGE)
        check.assertEqual(open_sessions(entry), 0)


async def test_a_wrong_or_missing_key_is_refused_before_the_body_is_judged():
    for key in ("", "wrong", KEY[:-1], KEY + "x", "x" * 5000):
        async with caller_of_site(key) as (_, client):
            for path in ("/v1/responses", "/services/holds/h"):
                answer = await client.post(path, content=b"{")
                check_problem(answer, ErrorKind.UNAUTHENTICATED)
            check_problem(await client.get("/v1/entries"), ErrorKind.UNAUTHENTICATED)


async def test_an_unknown_model_service_path_or_session_is_refused():
    async with caller_of_site() as (_, client):
        answer = await client.post("/v1/responses", content=story(model="no-such"))
        check_problem(answer, ErrorKind.UNKNOWN_MODEL)
        check_problem(await client.get("/services/no-such/x"), ErrorKind.UNKNOWN_SERVICE)
        check_problem(await client.get("/v2/other"), ErrorKind.NOT_FOUND)
        check_problem(await client.put("/v1/responses"), ErrorKind.NOT_FOUND)
        for session_id in ("resp_x", "x", "resp_" + "A" * 2000, "resp_%00", "resp_ÿ"):
            path = f"/v1/responses/{session_id}"
            check_problem(await client.get(path), ErrorKind.NOT_FOUND)
            check_problem(await client.post(path + "/cancel"), ErrorKind.NOT_FOUND)


async def test_a_seal_made_for_another_purpose_is_no_session_id():
    # The session keys seal peers' names too. A one-letter name read as a session id is a
    # number where a list is expected; without the check it is a bug to the caller, not "none".
    async with caller_of_site() as (entry, client):
        seal = entry.kernel.get(PlatformAccess).peer_keys.hello("a").seal.decode()
        check_problem(await client.get(f"/v1/responses/resp_{seal}"), ErrorKind.NOT_FOUND)


async def test_a_place_that_is_no_number_is_refused():
    async with caller_of_site() as (entry, client):
        session = await open_story(entry, 30)
        await read_all(session)
        for place in ("-1", "x", "", "1.5", "9" * 30, "٣" * 10):
            params = {"stream": "true", "starting_after": place}
            answer = await client.get(f"/v1/responses/{session.id}", params=params)
            check_problem(answer, ErrorKind.BAD_REQUEST)


async def test_a_prompt_above_the_contract_is_refused():
    async with caller_of_site() as (_, client):
        answer = await client.post("/v1/responses", content=story(input="word " * 100_000))
        check_problem(answer, ErrorKind.BAD_REQUEST)


def test_a_contract_with_a_negative_limit_is_refused_with_its_place():
    for key in ("requests_per_s", "burst", "concurrency", "max_prompt_tokens", "max_output_tokens"):
        for value in ("-1", "0", "nan", "many", ""):
            sections = CONTRACT | {"limits": {key: value}}
            with check.subTest(f"{key} = {value}"), check.assertRaises(UserError) as caught:
                read_contract("acme.ini", sections)
            check.assertIn(f"acme.ini: [limits] {key}", str(caught.exception))


def open_sessions(entry):
    return len(entry.kernel.get(SessionHost)._session_by_request)
