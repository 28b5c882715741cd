"""The count of open requests that a graceful shutdown waits for."""

import trio

from egretstack.callers import RequestCounter
from tests.support import check, tests_of

load_tests = tests_of(globals())


async def test_callers_that_ask_again_and_again_do_not_keep_a_leaving_entry_up():
    # An entry takes no new work any more, and callers with old addresses come in so often that
    # there is always a refusal on its way. The stop waits for what was begun before, and for
    # callers that follow a session, and for nothing else.
    counter = RequestCounter()
    ends = {"/v1/responses": trio.Event(), "/v1/responses/abc": trio.Event()}

    async def app(scope, receive, send):
        await ends.get(scope["path"], trio.Event()).wait()

    counted = counter.around(app)

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
