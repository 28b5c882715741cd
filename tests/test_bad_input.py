"""Invalid requests: each gets a documented kind of error, and nothing else is affected."""

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
MAX_BODY_BYTES = 1_048_576


def request_body(**members):
    return json.dumps({"model": "story", "input": "tokens:5"} | members).encode()


@asynccontextmanager
async def open_client(key=KEY):
    """Open a deployment with one entry; yield the entry and an HTTP client that sends `key`."""
    async with open_small_deployment(entries=1, contract=CONTRACT) as (_, entries):
        app = entries[0].access.app_by_address[f"{entries[0].host}:{PORTS['caller']}"]
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        transport = httpx.ASGITransport(app, raise_app_exceptions=False)
        async with httpx.AsyncClient(
            transport=transport, base_url="http://entry", headers=headers
        ) as client:
            yield entries[0], client


def check_problem(answer, kind):
    """Check that an answer is a complete problem detail of a kind."""
    check.assertEqual(answer.status_code, ANSWERS[kind].status, answer.text)
    check.assertEqual(answer.headers["content-type"], "application/problem+json")
    body = answer.json()
    check.assertEqual(body["error"]["code"], kind.value)
    check.assertEqual(body["run"], "not-run")
    check.assertEqual("retry-after" in answer.headers, ANSWERS[kind].retry)
    check.assertNotIn("Traceback", answer.text)


INVALID_BODIES = {
    "empty": b"",
    "cut JSON": b'{"model": "story", "input"',
    "not UTF-8": b"\xff\xfe{}",
    "a list": b"[]",
    "a number": b"7",
    "deep": b"[" * 100_000,
    "not a number": b'{"model": "story", "input": "x", "max_output_tokens": NaN}',
    "no model": b'{"input": "x"}',
    "no input": b'{"model": "story"}',
    "empty input": request_body(input=""),
    "input of numbers": request_body(input=[1, 2]),
    "too many items": request_body(input=[{"role": "user", "content": "x"}] * 1001),
    "model that is no name": request_body(model="../../etc"),
    "negative limit": request_body(max_output_tokens=-1),
    "limit of zero": request_body(max_output_tokens=0),
    "limit that is a flag": request_body(max_output_tokens=True),
    "limit with a fraction": request_body(max_output_tokens=1.5),
    "limit that is text": request_body(max_output_tokens="10"),
    "stream that is text": request_body(stream="yes"),
    "a member not known": request_body(tools=[]),
}


async def test_a_malformed_request_is_rejected_and_leaves_no_state():
    # Each invalid body arrives while another session of the same account is streaming. The caller
    # gets 400 with the reason, the other session is complete, and no slot of the account stays in
    # use.
    async with open_client() as (entry, client):
        session = await open_story(entry, 30)
        for name, body in INVALID_BODIES.items():
            answer = await client.post("/v1/responses", content=body)
            with check.subTest(name):
                check_problem(answer, ErrorKind.BAD_REQUEST)
        check.assertEqual(await read_all(session), list(range(31)))
        check.assertEqual(open_sessions(entry), 0)


async def test_a_body_above_the_limit_is_rejected():
    async with open_client() as (entry, client):
        body = request_body(input="x" * MAX_BODY_BYTES)
        check_problem(await client.post("/v1/responses", content=body), ErrorKind.BODY_TOO_LARGE)

        async def chunks():
            for _ in range(MAX_BODY_BYTES // 65_536 + 2):
                yield b"x" * 65_536

        chunked = await client.post("/v1/responses", content=chunks())
        check_problem(chunked, ErrorKind.BODY_TOO_LARGE)
        check.assertEqual(open_sessions(entry), 0)


async def test_a_wrong_or_missing_key_is_rejected_before_the_body_is_checked():
    for key in ("", "wrong", KEY[:-1], KEY + "x", "x" * 5000):
        async with open_client(key) as (_, client):
            for path in ("/v1/responses", "/services/holds/h"):
                answer = await client.post(path, content=b"{")
                check_problem(answer, ErrorKind.UNAUTHENTICATED)
            check_problem(await client.get("/v1/entries"), ErrorKind.UNAUTHENTICATED)


async def test_an_unknown_model_service_path_or_session_is_rejected():
    async with open_client() as (_, client):
        answer = await client.post("/v1/responses", content=request_body(model="no-such"))
        check_problem(answer, ErrorKind.UNKNOWN_MODEL)
        check_problem(await client.get("/services/no-such/x"), ErrorKind.UNKNOWN_SERVICE)
        check_problem(await client.get("/v2/other"), ErrorKind.NOT_FOUND)
        check_problem(await client.put("/v1/responses"), ErrorKind.NOT_FOUND)
        for session_id in ("resp_x", "x", "resp_" + "A" * 2000, "resp_%00", "resp_ÿ"):
            path = f"/v1/responses/{session_id}"
            check_problem(await client.get(path), ErrorKind.NOT_FOUND)
            check_problem(await client.post(path + "/cancel"), ErrorKind.NOT_FOUND)


async def test_a_seal_made_for_another_purpose_is_not_a_session_id():
    # The session keys also seal the names of peers. A one-letter name decoded as a session id is a
    # number where a list is expected; without the check the caller gets an internal error instead
    # of "not found".
    async with open_client() as (entry, client):
        seal = entry.kernel.get(PlatformAccess).peer_keys.make_hello("a").seal.decode()
        check_problem(await client.get(f"/v1/responses/resp_{seal}"), ErrorKind.NOT_FOUND)


async def test_a_position_that_is_not_a_number_is_rejected():
    async with open_client() as (entry, client):
        session = await open_story(entry, 30)
        await read_all(session)
        for position in ("-1", "x", "", "1.5", "9" * 30, "٣" * 10):
            params = {"stream": "true", "starting_after": position}
            answer = await client.get(f"/v1/responses/{session.id}", params=params)
            check_problem(answer, ErrorKind.BAD_REQUEST)


async def test_a_prompt_above_the_limit_of_the_contract_is_rejected():
    async with open_client() as (_, client):
        answer = await client.post("/v1/responses", content=request_body(input="word " * 100_000))
        check_problem(answer, ErrorKind.BAD_REQUEST)


def test_a_contract_with_an_invalid_limit_is_rejected_with_its_location():
    for key in ("requests_per_s", "burst", "concurrency", "max_prompt_tokens", "max_output_tokens"):
        for value in ("-1", "0", "nan", "many", ""):
            sections = CONTRACT | {"limits": {key: value}}
            with check.subTest(f"{key} = {value}"), check.assertRaises(UserError) as caught:
                read_contract("acme.ini", sections)
            check.assertIn(f"acme.ini: [limits] {key}", str(caught.exception))


def open_sessions(entry):
    return len(entry.kernel.get(SessionHost)._session_by_request)
