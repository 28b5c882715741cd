"""Odd requests at each port: each is answered, and no other connection notices."""

from standins.platform import HOST, KEY
from tests.platform_site import platform_site
from tests.raw_connection import exchange_raw
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

KEYED = f"host: {HOST}\r\nattempt-id: a-1\r\nauthorization: Bearer {KEY}\r\n".encode()


async def status_of(address, data):
    """Return the status of the answer to a request on a connection of its own; None if none."""
    answer = await exchange_raw(address, data)
    return int(answer.split()[1]) if answer else None


async def check_serves(site):
    """Check that all entries still serve calls on the site."""
    for number in range(len(site.kernels)):
        head, _ = await site.call("/notes/1", f"after-{number}", entry=number)
        check.assertEqual(head.status, 200)


def http_addresses(site):
    """Return the addresses of the first entry that speak HTTP, by name."""
    node = site.settings(0)
    return {
        "front": node.front_address,
        "ready": node.ready_address,
        "directory": node.directory_address,
        "metrics": node.metrics_address,
    }


CLOSING = b"connection: close\r\n\r\n"


@on_real_clock
async def test_a_head_request_is_answered_without_a_body_at_each_port():
    # Guards against an answer of the instance's own to a HEAD request that ends the process, and
    # its client's retry that ends the next one.
    async with platform_site() as site:
        cases = {
            "front": ((b"/notes/1", 401), (b"/none/1", 404)),
            "ready": ((b"/egretstack/ready", 200), (b"/x", 404)),
            "directory": ((b"/egretstack/resolve?name=x&region=bajio", 200), (b"/x", 404)),
            "metrics": ((b"/metrics", 200), (b"/placing", 200)),
        }
        for name, address in http_addresses(site).items():
            for target, status in cases[name]:
                head = b"HEAD " + target + b" HTTP/1.1\r\nhost: " + HOST.encode() + b"\r\n"
                answer = await exchange_raw(address, head + CLOSING)
                check.assertEqual(int(answer.split()[1]), status, name)
                check.assertTrue(answer.endswith(b"\r\n\r\n"), name)
                check.assertEqual(answer.count(b"\r\n\r\n"), 1, name)
        await check_serves(site)


@on_real_clock
async def test_a_connection_is_kept_after_a_head_request():
    # Guards against a client that reads the body of the answer before as its next answer.
    async with platform_site() as site:
        refused = b"HEAD /notes/1 HTTP/1.1\r\nhost: " + HOST.encode() + b"\r\n\r\n"
        relayed = b"HEAD /notes/1 HTTP/1.1\r\n" + KEYED + b"\r\n"
        get = b"GET /notes/1 HTTP/1.1\r\n" + KEYED + CLOSING
        answer = await exchange_raw(site.settings(0).front_address, refused + relayed + get)
        statuses = [int(one.split()[0]) for one in answer.split(b"HTTP/1.1 ")[1:]]
        check.assertEqual(statuses, [401, 200, 200])


@on_real_clock
async def test_bytes_after_a_head_request_that_are_no_request_are_answered():
    # Guards against an answer to no request that is framed as one to the HEAD before it.
    async with platform_site() as site:
        relayed = b"HEAD /notes/1 HTTP/1.1\r\n" + KEYED + b"\r\n"
        answer = await exchange_raw(site.settings(0).front_address, relayed + b"NONSENSE\r\n\r\n")
        statuses = [int(one.split()[0]) for one in answer.split(b"HTTP/1.1 ")[1:]]
        check.assertEqual(statuses, [200, 400])
        check.assertTrue(answer.endswith(b"}"))


@on_real_clock
async def test_connect_is_refused_at_each_port():
    # Guards against an answer that h11 takes for the switch to a tunnel.
    async with platform_site() as site:
        for name, address in http_addresses(site).items():
            data = b"CONNECT " + HOST.encode() + b":80 HTTP/1.1\r\n" + KEYED + b"\r\n"
            check.assertIn(await status_of(address, data), (501, None), name)
        await check_serves(site)


@on_real_clock
async def test_targets_that_no_library_parses_are_answered_at_each_port():
    # Guards against a target that HTTP allows and a parser of URLs raises an error for.
    async with platform_site() as site:
        targets = (b"//[", b"http://[::1/egretstack/ready", b"http://[x]:y/", b"*", b"/%zz?%=&=&")
        for name, address in http_addresses(site).items():
            for target in targets:
                request = b"GET " + target + b" HTTP/1.1\r\n" + KEYED + CLOSING
                status = await status_of(address, request)
                check.assertIn(status, (200, 404, 503), f"{name} {target}")
        ready = site.settings(0).ready_address
        whole = b"GET http://x/egretstack/ready HTTP/1.1\r\n" + KEYED + CLOSING
        check.assertEqual(await status_of(ready, whole), 200)
        await check_serves(site)


@on_real_clock
async def test_a_request_that_asks_to_drop_what_makes_it_is_rejected():
    # Guards against a request that is sent on without its host, which h11 refuses, or without its
    # id, its model or its size, which makes another request of it.
    async with platform_site() as site:
        front = site.settings(0).front_address
        for options in (
            b"host",
            b"close, Host",
            b"keep-alive, attempt-id",
            b"model",
            b"TOKEN-COUNT",
        ):
            request = b"GET /notes/1 HTTP/1.1\r\n" + KEYED
            request += b"connection: " + options + b"\r\nconnection: close\r\n\r\n"
            check.assertEqual(await status_of(front, request), 400, options)
        two = b"GET /notes/1 HTTP/1.1\r\n" + KEYED + b"x-a: 1\r\nconnection: x-a\r\n" + CLOSING
        check.assertEqual(await status_of(front, two), 200)
        check.assertEqual(sum(len(one.heads) for one in site.plain), 1)
        sent = {name for one in site.plain for head in one.heads for name, _ in head.headers}
        check.assertNotIn(b"x-a", sent)
        await check_serves(site)
