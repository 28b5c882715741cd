"""The seven points that must always hold, each with the check of a history and its evidence."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from egretstack.errors import ErrorKind, RunState
from tests.matrix.configuration_check import broken_configuration
from tests.matrix.history import (
    Asked,
    Broken,
    CallRan,
    Delivered,
    Finished,
    GaveUp,
    History,
    InForce,
    Killed,
    LeavingBegan,
    NotListening,
    OrderTaken,
    Refused,
    StopBegan,
    Stopped,
    UpstreamDied,
    WorkGiven,
)

LEAVING_LIMIT_S = 5.0
"""Longest time in which a leaving upstream may still be given new work."""

CUT_SEEN_S = 1.0
"""A connection that breaks this soon after a process ended was cut by its end."""


class Point(Enum):
    """What must always hold."""

    TOKENS_ONCE = "tokens once, in order, from one generation"
    OWN_WHOLE_ANSWER = "the whole answer to the own request"
    NOT_RUN_IS_TRUE = "told not run means not run"
    AT_MOST_ONCE = "non-idempotent calls run at most once"
    LEAVING_GETS_NO_WORK = "a leaving upstream gets no new work"
    STOP_CUTS_NOTHING = "a planned stop cuts no request"
    CONFIGURATION_HOLDS = "accepted configuration is in force and stays"


@dataclass(frozen=True)
class Violation:
    """One way in which a history breaks a point."""

    point: Point
    detail: str


def _tokens_once(history: History) -> list[str]:
    broken = []
    by_request: dict[str, list[Delivered]] = {}
    for token in history.of(Delivered):
        by_request.setdefault(token.request, []).append(token)
    for request, tokens in by_request.items():
        if len({one.generation for one in tokens}) > 1:
            broken.append(f"{request}: tokens of two generations")
        numbers = [one.number for one in tokens]
        if numbers != list(range(1, len(numbers) + 1)):
            broken.append(f"{request}: token numbers {_short(numbers)}")
        if any(one.sequence != one.number for one in tokens):
            broken.append(f"{request}: sequence numbers that are not the tokens' own")
    return broken


def _own_whole_answer(history: History) -> list[str]:
    broken = [f"{one.request}: no final answer" for one in history.of(GaveUp)]
    owner = {one.generation: one.request for one in history.of(WorkGiven) if one.generation}
    received: dict[str, int] = {}
    for token in history.of(Delivered):
        received[token.request] = received.get(token.request, 0) + 1
        if owner.get(token.generation) != token.request:
            broken.append(f"{token.request}: a token of {owner.get(token.generation)}")
    length = {one.request: one.length for one in history.of(Asked)}
    for done in history.of(Finished):
        if done.marker != done.request:
            broken.append(f"{done.request}: got the answer to {done.marker}")
        wanted = length.get(done.request, 0)
        if wanted and not wanted == done.tokens == received.get(done.request, 0):
            broken.append(
                f"{done.request}: told {done.tokens} and received "
                f"{received.get(done.request, 0)} of {wanted} tokens"
            )
    return broken + _untrue_ends(history, received)


def _untrue_ends(history: History, received: dict[str, int]) -> list[str]:
    broken = []
    for end in history.of(Refused):
        got = received.get(end.request, 0)
        if got and end.kind is not ErrorKind.GENERATION_LOST:
            broken.append(f"{end.request}: {end.kind.value} after {got} tokens")
        if end.kind is ErrorKind.GENERATION_LOST and end.delivered != got:
            broken.append(f"{end.request}: told {end.delivered} tokens, received {got}")
        if end.kind is ErrorKind.INTERNAL:
            broken.append(f"{end.request}: an internal error")
    broken += _untrue_losses(history)
    ended = {one.request for kind in (Finished, Refused, GaveUp) for one in history.of(kind)}
    for asked in history.of(Asked):
        if asked.request not in ended:
            broken.append(f"{asked.request}: never ended")
    return broken


def _untrue_losses(history: History) -> list[str]:
    """Find generations said to be lost at engines that had them, and calls that never settle."""
    died = {one.upstream: one.at_s for one in reversed(history.of(UpstreamDied))}
    upstream = {one.request: one.upstream for one in history.of(WorkGiven)}
    ends = [one for one in history.happenings if isinstance(one, (Finished, Refused))]
    last = {one.request: one for one in ends}
    broken = []
    for end in history.of(Refused):
        lost = end.kind is ErrorKind.GENERATION_LOST
        if lost and died.get(upstream.get(end.request, ""), end.at_s) >= end.at_s:
            broken.append(f"{end.request}: told lost, its engine lives")
        if end.kind is ErrorKind.IN_PROGRESS and last[end.request] is end:
            broken.append(f"{end.request}: in progress for ever")
    return broken


def _not_run_is_true(history: History) -> list[str]:
    broken = []
    for told in history.of(Refused):
        asked = [one.at_s for one in history.of(Asked) if one.request == told.request]
        # What ran in the time of a later attempt may be an earlier one's doing.
        first = sum(at_s <= told.at_s for at_s in asked) == 1
        says_not_run = told.run is RunState.NOT_RUN or (
            told.run is RunState.ATTEMPT_NOT_RUN and first
        )
        if not says_not_run:
            continue
        ran = [one.at_s for one in history.of(CallRan) if one.request == told.request]
        ran += [
            one.at_s
            for one in history.of(WorkGiven)
            if one.request == told.request and one.generation
        ]
        for at_s in ran:
            again = any(told.at_s <= one <= at_s for one in asked)
            if at_s <= told.at_s or not again:
                broken.append(f"{told.request}: told not run at {told.at_s:.2f}, ran {at_s:.2f}")
    return broken


def _at_most_once(history: History) -> list[str]:
    count: dict[str, int] = {}
    for ran in history.of(CallRan):
        count[ran.request] = count.get(ran.request, 0) + 1
    return [f"{request}: ran {times} times" for request, times in count.items() if times > 1]


def _leaving_gets_no_work(history: History) -> list[str]:
    broken = []
    for leaving in history.of(LeavingBegan):
        limit_s = leaving.at_s + LEAVING_LIMIT_S
        for given in history.of(WorkGiven):
            if given.upstream == leaving.upstream and given.at_s > limit_s:
                late_s = given.at_s - leaving.at_s
                broken.append(f"{given.upstream}: {given.request} {late_s:.1f} s after the notice")
    return broken


def _stop_cuts_nothing(history: History) -> list[str]:
    broken = []
    killed = {one.process: one.at_s for one in history.of(Killed)}
    stopped = {one.entry: one.at_s for one in history.of(Stopped)}
    for stop in history.of(StopBegan):
        killed_s = killed.get(stop.entry, float("inf"))
        ended_s = min(killed_s, stopped.get(stop.entry, float("inf")) + CUT_SEEN_S)
        for cut in history.of(Broken):
            if cut.entry == stop.entry and stop.at_s <= cut.at_s < ended_s:
                broken.append(f"{cut.request}: cut by the stop of {stop.entry}")
        life_end_s = min(stop.at_s + stop.answer_life_s, killed_s)
        for refused in history.of(NotListening):
            if refused.entry == stop.entry and stop.at_s <= refused.at_s < life_end_s:
                broken.append(f"{refused.request}: {stop.entry} did not listen")
    return broken


Check = Callable[[History], list[str]]
CHECK_BY_POINT: dict[Point, Check] = {
    Point.TOKENS_ONCE: _tokens_once,
    Point.OWN_WHOLE_ANSWER: _own_whole_answer,
    Point.NOT_RUN_IS_TRUE: _not_run_is_true,
    Point.AT_MOST_ONCE: _at_most_once,
    Point.LEAVING_GETS_NO_WORK: _leaving_gets_no_work,
    Point.STOP_CUTS_NOTHING: _stop_cuts_nothing,
    Point.CONFIGURATION_HOLDS: broken_configuration,
}

_EVIDENCE_BY_POINT: dict[Point, tuple[type, ...]] = {
    Point.TOKENS_ONCE: (Delivered,),
    Point.OWN_WHOLE_ANSWER: (Finished,),
    Point.NOT_RUN_IS_TRUE: (CallRan,),
    Point.AT_MOST_ONCE: (CallRan,),
    Point.LEAVING_GETS_NO_WORK: (LeavingBegan, WorkGiven),
    Point.STOP_CUTS_NOTHING: (StopBegan, Stopped),
    Point.CONFIGURATION_HOLDS: (InForce,),
}


def violations(history: History) -> list[Violation]:
    """Check a history against every point."""
    found = []
    for point, check in CHECK_BY_POINT.items():
        found.extend(Violation(point, detail) for detail in check(history))
    return found


def unproved(history: History) -> list[Point]:
    """Give the points of which the history holds no evidence: their checks prove nothing."""
    return [
        point
        for point, kinds in _EVIDENCE_BY_POINT.items()
        if not all(history.of(kind) for kind in kinds)
    ]


def stale_orders(history: History) -> list[str]:
    """Give the orders that engines which check fencing carried out after a newer one."""
    broken = []
    newest: dict[str, int] = {}
    for order in history.of(OrderTaken):
        if order.checks and order.fencing < newest.get(order.engine, 0):
            broken.append(f"{order.engine}: order {order.order} with an old number")
        newest[order.engine] = max(newest.get(order.engine, 0), order.fencing)
    return broken


def _short(numbers: list[int]) -> str:
    if len(numbers) <= 12:
        return str(numbers)
    return f"{numbers[:5]} ... {numbers[-5:]} ({len(numbers)})"
