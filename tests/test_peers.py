"""Links between instances: bounds, and keys that change one instance at a time."""

import tracemalloc

import msgpack
import trio
from trio.testing import memory_stream_pair

from egretstack.clock import EpochClock
from egretstack.delivery import SessionIdCipher
from egretstack.ids import InstanceId
from egretstack.peers import PeerGone, PeerKeys, PeerLink, PeerRefused, connect_peer, greet_peer
from egretstack.peers._link import MAX_MESSAGE_BYTES, SEAL_LIFE_S
from tests.support import check, tests_of

load_tests = tests_of(globals())

OLD, NEW = SessionIdCipher.new_key(), SessionIdCipher.new_key()


async def meet(near_keys, far_keys):
    """Let two processes greet each other; give the names they saw, or raise."""
    epoch = EpochClock.start()
    near, far = memory_stream_pair()
    seen = []

    async def greet():
        try:
            link = await greet_peer(far, PeerKeys(far_keys, epoch), InstanceId("far"))
            seen.append(link.peer)
        except PeerRefused:
            await far.aclose()

    async def opener():
        return near

    async with trio.open_nursery() as nursery:
        nursery.start_soon(greet)
        link = await connect_peer(opener, PeerKeys(near_keys, epoch), InstanceId("near"))
        seen.append(link.peer)
    return sorted(seen)


async def test_keys_change_one_instance_at_a_time():
    # First the new key is added behind the old one everywhere, then put first, then the old one
    # goes. At each step instances that have taken it and those that have not must still meet.
    steps = [[OLD], [OLD, NEW], [NEW, OLD], [NEW]]
    for before, after in zip(steps, steps[1:], strict=False):
        check.assertEqual(await meet(before, after), ["far", "near"])
        check.assertEqual(await meet(after, before), ["far", "near"])


async def test_a_key_that_skips_a_step_is_refused():
    for pair in (([OLD], [NEW]), ([NEW], [OLD])):
        with check.assertRaises(ExceptionGroup) as caught:
            await meet(*pair)
        check.assertTrue(caught.exception.subgroup((PeerGone, PeerRefused)))


async def test_an_old_seal_and_a_foreign_name_are_refused():
    keys = PeerKeys([OLD], EpochClock.start())
    hello = keys.hello(InstanceId("near"))
    check.assertEqual(keys.check(hello), "near")
    other = type(hello)(hello.version, "far", hello.seal)
    with check.assertRaises(PeerRefused):
        keys.check(other)
    await trio.sleep(SEAL_LIFE_S + 2)
    with check.assertRaises(PeerRefused):
        keys.check(hello)


async def test_a_message_that_is_too_large_is_refused():
    near, far = memory_stream_pair()
    link = PeerLink(far)
    async with trio.open_nursery() as nursery:
        body = msgpack.packb([1, 1, "near", b"x" * (MAX_MESSAGE_BYTES + 1)])
        nursery.start_soon(near.send_all, body)
        with check.assertRaises(PeerRefused):
            await link.receive()
        nursery.cancel_scope.cancel()


async def test_bytes_that_are_no_message_are_refused():
    for body in (b"\xc1", msgpack.packb({"a": 1}), msgpack.packb([9999]), msgpack.packb([1, 2])):
        near, far = memory_stream_pair()
        await near.send_all(body)
        with check.assertRaises(PeerRefused):
            await PeerLink(far).receive()


def test_a_link_at_rest_holds_little_memory():
    # An instance has a link each way to many others. The unpacker's default asks for a megabyte
    # at once, which at 420 instances was more than all of control may hold.
    near, _ = memory_stream_pair()
    tracemalloc.start()
    link = PeerLink(near)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    check.assertEqual(link.sent_bytes, 0)
    check.assertLess(held, 200_000)
