"""Which runners may be at work on one run, and how silent ones are asked."""

import trio
from hypothesis import given
from hypothesis import strategies as st

from egretstack.http1 import ConnectFailed, Dialer
from egretstack.ids import RunnerId
from egretstack.relay._active_runners import MAX_STEP_S, RESPONSIVE_S, ActiveRunners
from egretstack.relay._patience import LONGEST_SILENCE_S, place_wait_s
from egretstack.relay._runner_probes import RunnerProbes, RunnerSign
from egretstack.services.relaying import Relaying
from standins.platform import EngineFault
from tests.fleet_fixtures import runner
from tests.platform_site import platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

A, B = RunnerId("a"), RunnerId("b")
STEP_S = 0.1


def look(active, from_s, to_s):
    """Look every 0.1 s; return the doubtful runners at the end."""
    now_s = from_s
    while now_s < to_s:
        now_s = min(to_s, now_s + STEP_S)
        doubtful = active.doubtful(now_s)
    return doubtful


def test_a_runner_keeps_a_run_for_as_long_as_a_sound_one_is_silent():
    # Guards against a run that goes on elsewhere while its runner is paused.
    active = ActiveRunners()
    active.record_sent(0.0, A)
    check.assertEqual(active.doubtful(0.0), [A])
    active.record_sign(0.0, A)
    check.assertEqual(look(active, 0.0, RESPONSIVE_S - 0.01), [])
    check.assertEqual(look(active, RESPONSIVE_S, LONGEST_SILENCE_S), [A])
    check.assertEqual(look(active, LONGEST_SILENCE_S, place_wait_s() + 0.3), [])


def test_a_runner_whose_request_was_taken_back_unheard_keeps_others_from_the_run():
    # Guards against a request that its runner reads after another one got the run.
    active = ActiveRunners()
    active.record_sent(0.0, A)
    active.record_left(0.3, A)
    check.assertEqual(active.doubtful(0.3), [A])
    active.record_sign(0.8, A)
    check.assertEqual(active.doubtful(2.0), [])


def test_a_runner_that_was_left_while_it_answered_does_not_hold_up_others():
    # Guards against streams that wait for a runner that has noticed the close.
    active = ActiveRunners()
    active.record_sent(0.0, A)
    active.record_sign(0.5, A)
    active.record_left(0.6, A)
    check.assertEqual(look(active, 0.6, 2.0), [])


def test_a_runner_that_accepts_no_connection_or_has_ended_holds_up_nobody():
    # Guards against streams that wait for a runner that is gone.
    active = ActiveRunners()
    for one in (A, B):
        active.record_sent(0.0, one)
    active.record_unreachable(A)
    active.record_ended(B)
    check.assertEqual(active.doubtful(1.0), [])
    active.record_sign(1.2, A)
    check.assertEqual(look(active, 1.2, 1.9), [A])


def test_a_pause_of_this_process_is_no_silence_of_a_runner():
    # Guards against a runner that is left since this process itself was paused.
    active = ActiveRunners()
    active.record_sent(0.0, A)
    active.record_sign(0.1, A)
    check.assertEqual(active.doubtful(9.0), [A])
    check.assertEqual(active.doubtful(9.0 + MAX_STEP_S), [A])


@given(st.lists(st.tuples(st.sampled_from((A, B)), st.booleans(), st.floats(0.01, 0.5))))
def test_no_runner_is_forgotten_between_its_request_and_a_sign(steps):
    # Guards against an order of records after which a runner that is paused counts as ended.
    active, now_s, unheard_s = ActiveRunners(), 0.0, {}
    for one, leaves, step_s in steps:
        now_s += step_s
        unheard_s = {name: silent_s + step_s for name, silent_s in unheard_s.items()}
        if leaves:
            active.record_left(now_s, one)
        else:
            active.record_sent(now_s, one)
            unheard_s[one] = 0.0
    doubtful = active.doubtful(now_s)
    check.assertTrue(
        {one for one, silent_s in unheard_s.items() if silent_s < LONGEST_SILENCE_S}
        <= set(doubtful)
    )


class RefusingDialer(Dialer):
    """Opens no connection."""

    def __init__(self):
        self.tries = 0

    async def connect(self, address, timeout_s):
        """Count the try, and fail."""
        self.tries += 1
        await trio.sleep(0.01)
        raise ConnectFailed(address)


async def test_what_many_streams_ask_of_one_runner_is_asked_once():
    # Guards against a question of every stream of a runner that has just gone on.
    dialer = RefusingDialer()
    probes = RunnerProbes(dialer)
    signs = []

    async def ask():
        signs.append(await probes.ask(runner("a")))

    async with trio.open_nursery() as nursery:
        for _ in range(24):
            nursery.start_soon(ask)
    check.assertEqual(signs, [RunnerSign.UNREACHABLE] * 24)
    check.assertEqual(dialer.tries, 2)


@on_real_clock
async def test_a_runner_that_stands_still_is_told_from_one_that_answers_or_has_ended():
    # Guards against a stopped process that is taken for an ended one, as neither answers.
    async with platform_site(plain=0, engines=1) as site:
        [engine] = site.engines
        context = site.kernels[0].get(Relaying).context
        [known] = context.runners.by_id.values()
        engine.fault = EngineFault.FULL
        check.assertIs(await context.probes.ask(known), RunnerSign.ANSWERS)
        engine.pause()
        check.assertIs(await context.probes.ask(known), RunnerSign.SILENT)
        engine.end_pause()
        check.assertIs(await context.probes.ask(known), RunnerSign.ANSWERS)
        engine.stop()
        await trio.sleep(0.05)
        check.assertIs(await context.probes.ask(known), RunnerSign.UNREACHABLE)
