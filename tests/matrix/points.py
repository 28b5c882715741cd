"""The seven points that must always hold: their checks, and the events needed as evidence."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from egretstack.errors import ErrorKind, RunState
from tests.matrix.configuration_check import check_configuration_history
from tests.matrix.history import (
    CallRan,
    ConnectRefused,
    Disconnected,
    Finished,
    History,
    InForce,
    Killed,
    LeavingBegan,
    OrderAccepted,
    Refused,
    RequestAssigned,
    RequestSent,
    StopBegan,
    Stopped,
    TimedOut,
    TokenDelivered,
    UpstreamDied,
)

LEAVING_LIMIT_S = 5.0
"""Maximum time in which a leaving upstream may still get new requests."""

DISCONNECT_DETECTION_S = 1.0
"""A connection that breaks within this time after the end of a process was cut by that end."""


class Point(Enum):
    """An invariant of the system."""

    TOKENS_ONCE = "tokens once, in order, from one generation"
    OWN_WHOLE_ANSWER = "the whole answer to the own request"
    NOT_RUN_IS_TRUE = "told not run means not run"
    AT_MOST_ONCE = "non-idempotent calls run at most once"
    LEAVING_GETS_NO_WORK = "a leaving upstream gets no new work"
    STOP_CUTS_NOTHING = "a planned stop cuts no request"
    CONFIGURATION_HOLDS = "accepted configuration is in force and stays"


@dataclass(frozen=True)
class Violation:
    """A violation of a point in a history."""

    point: Point
    detail: str


def _tokens_once(history: History) -> list[str]:
    broken = []
    by_request: dict[str, list[TokenDelivered]] = {}
    for token in history.of(TokenDelivered):
        by_request.setdefault(token.request, []).append(token)
    for request, tokens in by_request.items():
        if len({one.generation for one in tokens}) > 1:
            broken.append(f"{request}: tokens of two generations")
        numbers = [one.number for one in tokens]
        if numbers != list(range(1, len(numbers) + 1)):
            broken.append(f"{request}: token numbers {_abbreviate(numbers)}")
        if any(one.sequence != one.number for one in tokens):
            broken.append(f"{request}: sequence numbers that are not the tokens' own")
    return broken


def _own_whole_answer(history: History) -> list[str]:
    broken = [f"{one.request}: no final answer" for one in history.of(TimedOut)]
    owner = {one.generation: one.request for one in history.of(RequestAssigned) if one.generation}
    received: dict[str, int] = {}
    for token in history.of(TokenDelivered):
        received[token.request] = received.get(token.request, 0) + 1
        if owner.get(token.generation) != token.request:
            broken.append(f"{token.request}: a token of {owner.get(token.generation)}")
    length = {one.request: one.length for one in history.of(RequestSent)}
    for done in history.of(Finished):
        if done.marker != done.request:
            broken.append(f"{done.request}: got the answer to {done.marker}")
        expected = length.get(done.request, 0)
        if expected and not expected == done.tokens == received.get(done.request, 0):
            broken.append(
                f"{done.request}: told {done.tokens} and received "
                f"{received.get(done.request, 0)} of {expected} tokens"
            )
    return broken + _wrong_ends(history, received)


def _wrong_ends(history: History, received: dict[str, int]) -> list[str]:
    broken = []
    for end in history.of(Refused):
        got = received.get(end.request, 0)
        if got and end.kind is not ErrorKind.GENERATION_LOST:
            broken.append(f"{end.request}: {end.kind.value} after {got} tokens")
        if end.kind is ErrorKind.GENERATION_LOST and end.delivered != got:
            broken.append(f"{end.request}: told {end.delivered} tokens, received {got}")
        if end.kind is ErrorKind.INTERNAL:
            broken.append(f"{end.request}: an internal error")
    broken += _wrong_losses(history)
    ended = {one.request for kind in (Finished, Refused, TimedOut) for one in history.of(kind)}
    for sent_at in history.of(RequestSent):
        if sent_at.request not in ended:
            broken.append(f"{sent_at.request}: never ended")
    return broken


def _wrong_losses(history: History) -> list[str]:
    """Find generations reported lost while their engine lives, and calls that stay in progress."""
    died = {one.upstream: one.at_s for one in reversed(history.of(UpstreamDied))}
    upstream = {one.request: one.upstream for one in history.of(RequestAssigned)}
    ends = [one for one in history.events if isinstance(one, (Finished, Refused))]
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
    for refusal in history.of(Refused):
        sent_at = [one.at_s for one in history.of(RequestSent) if one.request == refusal.request]
        # What ran during a later attempt may have been started by an earlier one.
        first = sum(at_s <= refusal.at_s for at_s in sent_at) == 1
        claims_not_run = refusal.run is RunState.NOT_RUN or (
            refusal.run is RunState.ATTEMPT_NOT_RUN and first
        )
        if not claims_not_run:
            continue
        ran = [one.at_s for one in history.of(CallRan) if one.request == refusal.request]
        ran += [
            one.at_s
            for one in history.of(RequestAssigned)
            if one.request == refusal.request and one.generation
        ]
        for at_s in ran:
            repeated = any(refusal.at_s <= one <= at_s for one in sent_at)
            if at_s <= refusal.at_s or not repeated:
                broken.append(
                    f"{refusal.request}: told not run at {refusal.at_s:.2f}, ran {at_s:.2f}"
                )
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
        for given in history.of(RequestAssigned):
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
        ended_s = min(killed_s, stopped.get(stop.entry, float("inf")) + DISCONNECT_DETECTION_S)
        for cut in history.of(Disconnected):
            if cut.entry == stop.entry and stop.at_s <= cut.at_s < ended_s:
                broken.append(f"{cut.request}: cut by the stop of {stop.entry}")
        life_end_s = min(stop.at_s + stop.answer_ttl_s, killed_s)
        for refused in history.of(ConnectRefused):
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
    Point.CONFIGURATION_HOLDS: check_configuration_history,
}

_EVIDENCE_BY_POINT: dict[Point, tuple[type, ...]] = {
    Point.TOKENS_ONCE: (TokenDelivered,),
    Point.OWN_WHOLE_ANSWER: (Finished,),
    Point.NOT_RUN_IS_TRUE: (CallRan,),
    Point.AT_MOST_ONCE: (CallRan,),
    Point.LEAVING_GETS_NO_WORK: (LeavingBegan, RequestAssigned),
    Point.STOP_CUTS_NOTHING: (StopBegan, Stopped),
    Point.CONFIGURATION_HOLDS: (InForce,),
}


def find_violations(history: History) -> list[Violation]:
    """Check a history against every point."""
    found = []
    for point, check in CHECK_BY_POINT.items():
        found.extend(Violation(point, detail) for detail in check(history))
    return found


def points_without_evidence(history: History) -> list[Point]:
    """Return the points without evidence in the history, whose checks therefore prove nothing."""
    return [
        point
        for point, kinds in _EVIDENCE_BY_POINT.items()
        if not all(history.of(kind) for kind in kinds)
    ]


def find_stale_orders(history: History) -> list[str]:
    """Return the orders that engines with fencing checks executed after a newer one."""
    broken = []
    newest: dict[str, int] = {}
    for order in history.of(OrderAccepted):
        if order.checks and order.fencing < newest.get(order.engine, 0):
            broken.append(f"{order.engine}: order {order.order} with an old number")
        newest[order.engine] = max(newest.get(order.engine, 0), order.fencing)
    return broken


def _abbreviate(numbers: list[int]) -> str:
    if len(numbers) <= 12:
        return str(numbers)
    return f"{numbers[:5]} ... {numbers[-5:]} ({len(numbers)})"
