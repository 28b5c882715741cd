"""Links between instances: limits, and key rotation one instance at a time."""

import tracemalloc

import msgpack
import trio
from trio.testing import memory_stream_pair

from egretstack.clock import EpochClock
from egretstack.delivery import SessionIdCipher
from egretstack.ids import InstanceId
from egretstack.peers import PeerGone, PeerKeys, PeerLink, PeerRefused, accept_peer, connect_peer
from egretstack.peers._link import MAX_MESSAGE_BYTES, SEAL_TTL_S
from tests.support import check, tests_of

load_tests = tests_of(globals())

OLD, NEW = SessionIdCipher.new_key(), SessionIdCipher.new_key()


async def connect(near_keys, far_keys):
    """Open a link between two processes; return the peer names that both received, or raise."""
    epoch = EpochClock.start()
    near, far = memory_stream_pair()
    names = []

    async def accept():
        try:
            link = await accept_peer(far, PeerKeys(far_keys, epoch), InstanceId("far"))
            names.append(link.peer)
        except PeerRefused:
            await far.aclose()

    async def open_stream():
        return near

    async with trio.open_nursery() as nursery:
        nursery.start_soon(accept)
        link = await connect_peer(open_stream, PeerKeys(near_keys, epoch), InstanceId("near"))
        names.append(link.peer)
    return sorted(names)


async def test_keys_are_rotated_one_instance_at_a_time():
    # The new key is first added behind the old one on all instances, then put first, then the old
    # one is removed. At each step, instances before and after it must still be able to connect.
    steps = [[OLD], [OLD, NEW], [NEW, OLD], [NEW]]
    for before, after in zip(steps, steps[1:], strict=False):
        check.assertEqual(await connect(before, after), ["far", "near"])
        check.assertEqual(await connect(after, before), ["far", "near"])


async def test_a_key_rotation_that_skips_a_step_is_rejected():
    for pair in (([OLD], [NEW]), ([NEW], [OLD])):
        with check.assertRaises(ExceptionGroup) as caught:
            await connect(*pair)
        check.assertTrue(caught.exception.subgroup((PeerGone, PeerRefused)))


async def test_an_expired_seal_and_a_wrong_name_are_rejected():
    keys = PeerKeys([OLD], EpochClock.start())
    hello = keys.make_hello(InstanceId("near"))
    check.assertEqual(keys.verify_hello(hello), "near")
    wrong_name = type(hello)(hello.version, "far", hello.seal)
    with check.assertRaises(PeerRefused):
        keys.verify_hello(wrong_name)
    await trio.sleep(SEAL_TTL_S + 2)
    with check.assertRaises(PeerRefused):
        keys.verify_hello(hello)


async def test_a_message_that_is_too_large_is_rejected():
    near, far = memory_stream_pair()
    link = PeerLink(far)
    async with trio.open_nursery() as nursery:
        body = msgpack.packb([1, 1, "near", b"x" * (MAX_MESSAGE_BYTES + 1)])
        nursery.start_soon(near.send_all, body)
        with check.assertRaises(PeerRefused):
            await link.receive()
        nursery.cancel_scope.cancel()


async def test_data_that_is_not_a_message_is_rejected():
    for body in (b"\xc1", msgpack.packb({"a": 1}), msgpack.packb([9999]), msgpack.packb([1, 2])):
        near, far = memory_stream_pair()
        await near.send_all(body)
        with check.assertRaises(PeerRefused):
            await PeerLink(far).receive()


def test_an_idle_link_uses_little_memory():
    # An instance has a link in each direction to many others. By default the unpacker allocates a
    # megabyte at once, which with 420 instances exceeded the memory limit of the control plane.
    near, _ = memory_stream_pair()
    tracemalloc.start()
    link = PeerLink(near)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    check.assertEqual(link.sent_bytes, 0)
    check.assertLess(used_bytes, 200_000)
