"""The count of open requests that a graceful shutdown waits for."""

import trio

from egretstack.callers import RequestCounter
from tests.support import check, tests_of

load_tests = tests_of(globals())


async def test_refused_requests_do_not_delay_the_shutdown():
    # An entry accepts no new requests, and callers with old addresses come so often that there is
    # always a refusal in progress. The shutdown waits only for requests that began before it, and
    # for callers that follow a session.
    counter = RequestCounter()
    ends = {"/v1/responses": trio.Event(), "/v1/responses/abc": trio.Event()}

    async def app(scope, receive, send):
        await ends.get(scope["path"], trio.Event()).wait()

    counted = counter.wrap(app)

    def request(nursery, path):
        nursery.start_soon(counted, {"type": "http", "path": path}, None, None)

    async with trio.open_nursery() as nursery:
        request(nursery, "/v1/responses")
        await trio.sleep(1)
        counter.close()
        request(nursery, "/v1/entries")
        request(nursery, "/services/holds/seats")
        request(nursery, "/v1/responses/abc")
        await trio.sleep(1)
        check.assertEqual(counter.open, 2)
        ends["/v1/responses"].set()
        await trio.sleep(1)
        check.assertEqual(counter.open, 1)
        ends["/v1/responses/abc"].set()
        with trio.fail_after(5):
            await counter.wait_idle()
        nursery.cancel_scope.cancel()
