"""Finds out from the saved logs of several instances how a request ended, and why."""

import json
from collections.abc import Iterable
from dataclasses import dataclass

from egretstack.reports._explain_notes import (
    HOME_EVENTS,
    SPEED_EVENTS,
    LogLine,
    describe_early_refusal,
    describe_notes,
)

_JSON_START = "{"
MAX_LINE_CHARACTERS = 65_536

_CAUSE_BY_FINAL_EVENT = {
    "request_answered": "a runner's answer went to the client",
    "request_failed": "the request got an answer of this system's own",
    "stream_ended": "the stream was passed on to its end",
    "stream_lost": "the stream's runner was lost, and no copy of the run could go on",
    "stream_out_of_time": "the stream was broken off at its deadline",
    "client_left": "the client closed its connection first",
}
_RUNNER_EVENTS = frozenset(
    {
        "report_unreadable",
        "runner_leaves",
        "runner_limited",
        "runner_unlimited",
        "runner_word",
        "runners_silent",
    }
)
_LATER_EVENTS = frozenset({"run_broken", "return_missed"})
"""Events about a request that may come after its end."""
_INSTANCE_EVENTS = frozenset(
    {"relay_started", "drain_begun", "stopped", "store_away", "store_back", "config_in_force"}
)


@dataclass(frozen=True)
class Explanation:
    """The log lines that concern a request, and the cause of its outcome in one sentence."""

    request: str
    lines: tuple[LogLine, ...]
    cause: str


def read_log(lines: Iterable[str]) -> list[LogLine]:
    """Parse the JSON lines of a log; skip text before a line's JSON, and any other lines."""
    parsed = []
    for text in lines:
        start = text.find(_JSON_START)
        if start < 0 or len(text) > MAX_LINE_CHARACTERS:
            continue
        try:
            row = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(row, dict) and "name" in row and "time" in row:
            parsed.append(_make_line(row))
    return parsed


def _make_line(row: dict[str, object]) -> LogLine:
    fields = {
        name: value
        for name, value in row.items()
        if name not in ("time", "name", "instance", "level", "event")
    }
    return LogLine(str(row["time"]), str(row.get("instance", "?")), str(row["name"]), fields)


def explain(request: str, lines: list[LogLine]) -> Explanation:
    """Explain a request's outcome; `lines` may come from several instances, in any order."""
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if line.fields.get("request") == request]
    if not own:
        return Explanation(request, (), "no line names this request: the logs are of other times")
    context = [line for line in _find_context(own, ordered) if line not in own]
    timeline = sorted([*own, *context], key=lambda line: line.time)
    return Explanation(request, tuple(timeline), _describe_cause(own, ordered))


def _find_context(own: list[LogLine], ordered: list[LogLine]) -> list[LogLine]:
    """Return the lines about the request's runners and about the state of its instances."""
    runners = _runners_named(own)
    instances = {line.instance for line in own}
    first, last = own[0].time, own[-1].time
    found = []
    for line in ordered:
        names_runner = line.name in _RUNNER_EVENTS and any(
            runner in str(line.fields) for runner in runners
        )
        if names_runner and line.instance in instances:
            found.append(line)
        is_during = first <= line.time <= last
        if line.name in _INSTANCE_EVENTS and line.instance in instances and is_during:
            found.append(line)
    found.extend(_find_home_lines(own, ordered, runners))
    restarts = [
        line
        for line in ordered
        if line.name == "relay_started" and line.time > last and line.instance == own[-1].instance
    ]
    if _last_own_line(own).name not in _CAUSE_BY_FINAL_EVENT:
        found.extend(restarts[:1])
    return found


def _find_home_lines(
    own: list[LogLine], ordered: list[LogLine], runners: set[str]
) -> list[LogLine]:
    """Return the home's lines of its runners' speeds, the last of each, and of shares meanwhile."""
    first, last = own[0].time, own[-1].time
    speed_by_runner = {
        str(line.fields.get("runner")): line
        for line in ordered
        if line.name in SPEED_EVENTS
        and line.time <= last
        and str(line.fields.get("runner")) in runners
    }
    others = HOME_EVENTS - SPEED_EVENTS
    during = [line for line in ordered if line.name in others and first <= line.time <= last]
    return [*speed_by_runner.values(), *during]


def _runners_named(own: list[LogLine]) -> set[str]:
    names = ("runner", "backup", "source", "destination", "copy")
    return {str(line.fields[name]) for line in own for name in names if line.fields.get(name)}


def _last_own_line(own: list[LogLine]) -> LogLine:
    """Return the request's last line, without those that may follow its end."""
    return next((line for line in reversed(own) if line.name not in _LATER_EVENTS), own[-1])


def _describe_ended_runners(own: list[LogLine]) -> str:
    ended = [line for line in own if line.name == "run_broken" and line.fields.get("ended")]
    names = ", ".join(str(line.fields.get("runner")) for line in ended)
    return f"; ended while they ran it: {names}" if ended else ""


def _describe_cause(own: list[LogLine], ordered: list[LogLine]) -> str:
    end = _describe_end(own, ordered)
    return end + describe_notes(own, ordered) + _describe_ended_runners(own)


def _describe_end(own: list[LogLine], ordered: list[LogLine]) -> str:
    last = _last_own_line(own)
    for line in own:
        if line.name in ("stream_lost", "request_failed", "stream_out_of_time"):
            last = line
            break
    if last.name == "request_failed":
        return _describe_failure(last, own, ordered)
    if last.name == "stream_lost":
        return _describe_loss(last, own, ordered)
    if last.name == "request_answered":
        return f"{_CAUSE_BY_FINAL_EVENT[last.name]}: status {last.fields.get('status')}"
    if last.name in _CAUSE_BY_FINAL_EVENT:
        return _CAUSE_BY_FINAL_EVENT[last.name]
    has_restarted = any(
        line.name == "relay_started" and line.instance == last.instance and line.time > last.time
        for line in ordered
    )
    if has_restarted:
        return f"the process of {last.instance} ended while the request was in progress there"
    return f"the logs end with {last.name}: the request was in progress, or its process ended"


def _describe_refused_part(failed: LogLine, ordered: list[LogLine]) -> str:
    """Return the ends for which a part of the request's prompt is refused; empty if it is not."""
    detail = str(failed.fields.get("detail"))
    found = [
        line
        for line in ordered
        if line.name == "part_refused"
        and line.time <= failed.time
        and str(line.fields.get("part")) in detail.split()
    ]
    if not found:
        return ""
    return f"{detail}; ended under it by {found[-1].time}: {found[-1].fields.get('runners')}"


def _describe_failure(failed: LogLine, own: list[LogLine], ordered: list[LogLine]) -> str:
    kind, detail = failed.fields.get("kind"), failed.fields.get("detail")
    refused_part = _describe_refused_part(failed, ordered)
    if refused_part:
        return f"{kind}: {refused_part}"
    early = describe_early_refusal(own)
    if early:
        return f"{kind}: {early}"
    for line in own:
        if line.name == "place_refused":
            return (
                f"{kind}: no engine had room in the {line.fields.get('waited_ms')} ms "
                f"for which its caller could be kept waiting; told to come back in "
                f"{line.fields.get('retry_s')} s"
            )
    corrupt = [line for line in own if line.name in ("answer_spoilt", "upstream_broken")]
    if corrupt:
        return f"{kind}: {corrupt[-1].name} ({_format_fields(corrupt[-1])}); it may have run"
    sends = [line for line in own if line.name == "send_ended"]
    if sends:
        return f"{kind}: its last send ended as {sends[-1].fields.get('result')}"
    return f"{kind}: {detail}"


def _describe_loss(lost: LogLine, own: list[LogLine], ordered: list[LogLine]) -> str:
    runner = str(lost.fields.get("runner"))
    stops = [line for line in own if line.name == "stream_halted"]
    reason = stops[-1].fields.get("why") if stops else "broken"
    was_announced = any(
        line.name == "runner_leaves" and line.fields.get("runner") == runner for line in ordered
    )
    copies = [line for line in own if line.name == "move_ended" and not line.fields.get("stop")]
    tried = f"; copies tried: {', '.join(str(one.fields.get('outcome')) for one in copies)}"
    return (
        f"runner {runner} was {reason} after {lost.fields.get('events')} events, "
        f"{'after its notice' if was_announced else 'without a notice'}, and no copy could go on"
        f"{tried if copies else '; no copy was made'}"
    )


def _format_fields(line: LogLine) -> str:
    return ", ".join(f"{name} {value}" for name, value in line.fields.items() if name != "request")
