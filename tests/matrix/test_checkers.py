"""Tests of the matrix's checks: a valid history passes, and each kind of violation is found."""

from dataclasses import replace

from egretstack.errors import ErrorKind, RunState
from tests.matrix.history import (
    CallRan,
    ChangeAnswer,
    ChangeAnswered,
    ConnectRefused,
    Disconnected,
    Finished,
    HeadWritten,
    History,
    HistoryEvent,
    InForce,
    Killed,
    LeavingBegan,
    OrderAccepted,
    Path,
    Paused,
    Refused,
    RequestAssigned,
    RequestSent,
    Resumed,
    StopBegan,
    Stopped,
    StoreAvailable,
    StoreUnavailable,
    TimedOut,
    TokenDelivered,
    UpstreamDied,
)
from tests.matrix.points import Point, find_stale_orders, find_violations, points_without_evidence
from tests.support import check, tests_of

load_tests = tests_of(globals())

FIRST = {"contract.acme": "d1"}
SECOND = {"contract.acme": "d2"}


def _sound() -> list[HistoryEvent]:
    """Return a history with events of every kind that breaks no point."""
    tokens = [TokenDelivered(2.0 + n, "s", "g", n, n) for n in (1, 2, 3)]
    return [
        HeadWritten(0.0, 1, "c1", FIRST),
        InForce(0.5, "entry-0", 1, FIRST),
        RequestSent(1.0, "s", Path.SESSION, "entry-0", 3),
        RequestAssigned(1.1, "engine-0", "s", "g"),
        *tokens,
        Finished(5.1, "s", "s", 3),
        RequestSent(6.0, "k", Path.CALL, "entry-0"),
        RequestAssigned(6.1, "holds-0", "k"),
        CallRan(6.2, "k"),
        Finished(6.3, "k", "k"),
        LeavingBegan(7.0, "engine-0"),
        ChangeAnswered(8.0, "c2", "contract.acme", ChangeAnswer.ACCEPTED, 2, "d1"),
        HeadWritten(8.0, 2, "c2", SECOND),
        InForce(9.0, "entry-0", 2, SECOND),
        StopBegan(10.0, "entry-0", 5.0),
        Stopped(16.0, "entry-0"),
    ]


def _broken(events: list[HistoryEvent]) -> set[Point]:
    return {one.point for one in find_violations(History(events))}


def _refusal(request: str, at_s: float, kind: ErrorKind, run: RunState, **more) -> Refused:
    return Refused(at_s, request, kind, run, **more)


def test_a_sound_history_breaks_nothing_and_has_evidence_of_every_point():
    check.assertEqual(find_violations(History(_sound())), [])
    check.assertEqual(points_without_evidence(History(_sound())), [])


def test_an_empty_history_is_evidence_of_nothing():
    check.assertEqual(set(points_without_evidence(History())), set(Point))


def test_a_token_twice_is_caught():
    repeated = TokenDelivered(4.5, "s", "g", 2, 2)
    check.assertIn(Point.TOKENS_ONCE, _broken([*_sound(), repeated]))


def test_a_missing_token_is_caught():
    kept = [one for one in _sound() if getattr(one, "number", 0) != 2]
    check.assertIn(Point.TOKENS_ONCE, _broken(kept))


def test_tokens_out_of_order_are_caught():
    events = _sound()
    events[4], events[5] = events[5], events[4]
    check.assertIn(Point.TOKENS_ONCE, _broken(events))


def test_two_spliced_generations_are_caught():
    spliced = [
        replace(one, generation="h") if getattr(one, "number", 0) == 3 else one for one in _sound()
    ]
    spliced.append(RequestAssigned(1.2, "engine-1", "s", "h"))
    check.assertIn(Point.TOKENS_ONCE, _broken(spliced))


def test_a_sequence_number_that_is_not_the_tokens_own_is_caught():
    shifted = [
        replace(one, sequence=7) if isinstance(one, TokenDelivered) else one for one in _sound()
    ]
    check.assertIn(Point.TOKENS_ONCE, _broken(shifted))


def test_the_answer_to_another_request_is_caught():
    crossed = [
        replace(one, marker="other") if isinstance(one, Finished) else one for one in _sound()
    ]
    check.assertIn(Point.OWN_WHOLE_ANSWER, _broken(crossed))


def test_a_token_of_another_requests_generation_is_caught():
    crossed = [
        replace(one, request="other") if isinstance(one, RequestAssigned) else one
        for one in _sound()
    ]
    check.assertIn(Point.OWN_WHOLE_ANSWER, _broken(crossed))


def test_an_answer_that_is_not_whole_is_caught():
    kept = [one for one in _sound() if getattr(one, "number", 0) != 3]
    check.assertIn(Point.OWN_WHOLE_ANSWER, _broken(kept))


def test_a_request_without_an_end_is_caught():
    check.assertIn(
        Point.OWN_WHOLE_ANSWER, _broken([*_sound(), RequestSent(9.0, "t", Path.CALL, "entry-0")])
    )
    check.assertIn(Point.OWN_WHOLE_ANSWER, _broken([*_sound(), TimedOut(9.0, "s")]))


def _lost(refusal: int, died: bool) -> list[HistoryEvent]:
    kept = [one for one in _sound() if not (isinstance(one, Finished) and one.request == "s")]
    kept.append(
        _refusal("s", 5.1, ErrorKind.GENERATION_LOST, RunState.RAN_IN_PART, delivered=refusal)
    )
    return [*kept, UpstreamDied(5.0, "engine-0")] if died else kept


def test_a_lost_generation_needs_a_dead_engine_and_the_true_count():
    check.assertEqual(_broken(_lost(3, died=True)), set())
    check.assertIn(Point.OWN_WHOLE_ANSWER, _broken(_lost(2, died=True)))
    check.assertIn(Point.OWN_WHOLE_ANSWER, _broken(_lost(3, died=False)))


def test_a_refusal_in_the_middle_of_a_stream_is_caught():
    kept = [one for one in _sound() if not (isinstance(one, Finished) and one.request == "s")]
    kept.append(_refusal("s", 5.1, ErrorKind.NOT_FOUND, RunState.NOT_RUN))
    check.assertIn(Point.OWN_WHOLE_ANSWER, _broken(kept))


def test_a_call_that_stays_in_progress_is_caught():
    stuck = _refusal("t", 9.0, ErrorKind.IN_PROGRESS, RunState.MAY_HAVE_RUN)
    check.assertIn(
        Point.OWN_WHOLE_ANSWER,
        _broken([*_sound(), RequestSent(8.0, "t", Path.CALL, "entry-0"), stuck]),
    )


def test_not_run_after_it_ran_is_caught():
    refusal = _refusal("k", 6.4, ErrorKind.NOT_RUN, RunState.NOT_RUN)
    check.assertIn(Point.NOT_RUN_IS_TRUE, _broken([*_sound(), refusal]))


def test_not_run_and_then_it_runs_late_is_caught():
    refusal = _refusal("k", 6.15, ErrorKind.NOT_RUN, RunState.NOT_RUN)
    check.assertIn(Point.NOT_RUN_IS_TRUE, _broken([*_sound(), refusal]))


def test_not_run_and_then_run_by_a_repeat_is_sound():
    refusal = _refusal("k", 6.05, ErrorKind.NOT_RUN, RunState.NOT_RUN)
    repeated = RequestSent(6.08, "k", Path.CALL, "entry-1")
    check.assertEqual(_broken([*_sound(), refusal, repeated]), set())


def test_this_attempt_not_run_is_untrue_only_of_the_first_attempt():
    state = RunState.ATTEMPT_NOT_RUN
    first = _refusal("k", 6.4, ErrorKind.PLATFORM_AWAY, state)
    repeated = [RequestSent(7.0, "k", Path.CALL, "entry-1"), replace(first, at_s=7.1)]
    check.assertIn(Point.NOT_RUN_IS_TRUE, _broken([*_sound(), first]))
    check.assertNotIn(Point.NOT_RUN_IS_TRUE, _broken([*_sound(), *repeated]))


def test_not_run_for_a_generation_that_began_is_caught():
    refusal = _refusal("s", 5.2, ErrorKind.NO_RUNNER, RunState.NOT_RUN)
    check.assertIn(Point.NOT_RUN_IS_TRUE, _broken([*_sound(), refusal]))


def test_a_call_that_ran_twice_is_caught():
    check.assertIn(Point.AT_MOST_ONCE, _broken([*_sound(), CallRan(6.25, "k")]))


def test_new_work_for_a_leaving_upstream_is_caught():
    soon = RequestAssigned(9.0, "engine-0", "s", "h")
    late = RequestAssigned(12.5, "engine-0", "s", "h")
    check.assertNotIn(Point.LEAVING_GETS_NO_WORK, _broken([*_sound(), soon]))
    check.assertIn(Point.LEAVING_GETS_NO_WORK, _broken([*_sound(), late]))


def test_a_request_cut_by_a_planned_stop_is_caught():
    check.assertIn(
        Point.STOP_CUTS_NOTHING, _broken([*_sound(), Disconnected(16.0, "s", "entry-0")])
    )


def test_a_request_cut_by_a_kill_is_not_the_stops_doing():
    killed = [one for one in _sound() if not isinstance(one, Stopped)]
    killed += [Killed(12.0, "entry-0"), Disconnected(12.0, "s", "entry-0")]
    check.assertNotIn(Point.STOP_CUTS_NOTHING, _broken(killed))


def test_an_address_that_dies_before_the_answer_that_named_it_is_caught():
    early = ConnectRefused(14.0, "s", "entry-0")
    late = ConnectRefused(17.0, "s", "entry-0")
    check.assertIn(Point.STOP_CUTS_NOTHING, _broken([*_sound(), early]))
    check.assertNotIn(Point.STOP_CUTS_NOTHING, _broken([*_sound(), late]))


def test_a_revision_that_goes_back_is_caught():
    back = InForce(9.5, "entry-0", 1, FIRST)
    check.assertIn(Point.CONFIGURATION_HOLDS, _broken([*_sound(), back]))


def test_a_revision_that_comes_late_is_caught():
    late = [one for one in _sound() if not (isinstance(one, InForce) and one.revision == 2)]
    late.append(InForce(13.5, "entry-0", 2, SECOND))
    check.assertIn(Point.CONFIGURATION_HOLDS, _broken(late))


def test_time_without_the_store_or_while_frozen_does_not_count():
    late = [one for one in _sound() if not (isinstance(one, InForce) and one.revision == 2)]
    late.append(InForce(15.5, "entry-0", 2, SECOND))
    away = [StoreUnavailable(8.0), StoreAvailable(11.0)]
    frozen = [Paused(8.0, "entry-0"), Resumed(11.0, "entry-0")]
    check.assertNotIn(Point.CONFIGURATION_HOLDS, _broken([*late, *away]))
    check.assertNotIn(Point.CONFIGURATION_HOLDS, _broken([*late, *frozen]))


def test_another_text_under_an_accepted_revision_is_caught():
    other = [
        replace(one, digest_by_part=FIRST) if isinstance(one, InForce) else one for one in _sound()
    ]
    check.assertIn(Point.CONFIGURATION_HOLDS, _broken(other))


def test_an_accepted_change_that_is_not_in_the_store_is_caught():
    refusal = ChangeAnswered(9.0, "c3", "contract.acme", ChangeAnswer.ACCEPTED, 3, "d2")
    check.assertIn(Point.CONFIGURATION_HOLDS, _broken([*_sound(), refusal]))


def test_a_refused_change_that_is_in_the_store_is_caught():
    refused = [
        replace(one, answer=ChangeAnswer.CONFLICT) if isinstance(one, ChangeAnswered) else one
        for one in _sound()
    ]
    check.assertIn(Point.CONFIGURATION_HOLDS, _broken(refused))


def test_an_overwritten_change_is_caught():
    blind = [
        replace(one, base="d0") if isinstance(one, ChangeAnswered) else one for one in _sound()
    ]
    check.assertIn(Point.CONFIGURATION_HOLDS, _broken(blind))


def test_a_change_of_a_part_that_is_not_its_own_is_caught():
    other = [
        replace(one, part="service.llm", base=None) if isinstance(one, ChangeAnswered) else one
        for one in _sound()
    ]
    check.assertIn(Point.CONFIGURATION_HOLDS, _broken(other))


def test_an_order_with_an_old_number_at_an_engine_that_checks_is_caught():
    orders = [OrderAccepted(1.0, "e", "o1", 7, True), OrderAccepted(2.0, "e", "o2", 6, True)]
    check.assertTrue(find_stale_orders(History(orders)))
    unchecked = [replace(one, checks=False) for one in orders]
    check.assertFalse(find_stale_orders(History(unchecked)))
