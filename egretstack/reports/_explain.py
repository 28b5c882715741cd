"""From a request's id to its cause, over saved logs of several instances."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field

_JSON_START = "{"
MAX_LINE = 65_536

_LAST_WORDS = {
    "request_answered": "a runner's answer went to the client",
    "request_failed": "the request got an answer of this system's own",
    "stream_ended": "the stream was passed on to its end",
    "stream_lost": "the stream's runner was lost, and no copy of the run could go on",
    "stream_out_of_time": "the stream was broken off at its deadline",
    "client_left": "the client closed its connection first",
}
_ABOUT_RUNNERS = frozenset(
    {
        "report_unreadable",
        "runner_leaves",
        "runner_limited",
        "runner_unlimited",
        "runner_word",
        "runners_silent",
    }
)
_ABOUT_INSTANCE = frozenset(
    {"relay_started", "drain_begun", "stopped", "store_away", "store_back", "config_in_force"}
)


@dataclass(frozen=True)
class LogLine:
    """One line of one instance; `time` orders lines as far as the instances' clocks agree."""

    time: str
    instance: str
    name: str
    fields: dict[str, object] = field(hash=False)


@dataclass(frozen=True)
class Explanation:
    """A request's story in lines, and its cause in one sentence."""

    request: str
    lines: tuple[LogLine, ...]
    cause: str


def read_log(lines: Iterable[str]) -> list[LogLine]:
    """Read the JSON lines of a log; text before a line's JSON is left out, as is all else."""
    read = []
    for text in lines:
        start = text.find(_JSON_START)
        if start < 0 or len(text) > MAX_LINE:
            continue
        try:
            row = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(row, dict) and "name" in row and "time" in row:
            read.append(_line(row))
    return read


def _line(row: dict[str, object]) -> LogLine:
    kept = {
        name: value
        for name, value in row.items()
        if name not in ("time", "name", "instance", "level", "event")
    }
    return LogLine(str(row["time"]), str(row.get("instance", "?")), str(row["name"]), kept)


def explain(request: str, lines: list[LogLine]) -> Explanation:
    """Give the story of a request; `lines` may come from several instances, in any order."""
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if line.fields.get("request") == request]
    if not own:
        return Explanation(request, (), "no line names this request: the logs are of other times")
    around = [line for line in _around(own, ordered) if line not in own]
    story = sorted([*own, *around], key=lambda line: line.time)
    return Explanation(request, tuple(story), _cause(own, ordered))


def _around(own: list[LogLine], ordered: list[LogLine]) -> list[LogLine]:
    """Give what was known of the request's runners, and what befell its instances."""
    runners = _runners(own)
    instances = {line.instance for line in own}
    first, last = own[0].time, own[-1].time
    found = []
    for line in ordered:
        about_runner = line.name in _ABOUT_RUNNERS and any(
            runner in str(line.fields) for runner in runners
        )
        if about_runner and line.instance in instances:
            found.append(line)
        within = first <= line.time <= last
        if line.name in _ABOUT_INSTANCE and line.instance in instances and within:
            found.append(line)
    after = [
        line
        for line in ordered
        if line.name == "relay_started" and line.time > last and line.instance == own[-1].instance
    ]
    if _last(own).name not in _LAST_WORDS:
        found.extend(after[:1])
    return found


def _runners(own: list[LogLine]) -> set[str]:
    names = ("runner", "backup", "source", "destination", "copy")
    return {str(line.fields[name]) for line in own for name in names if line.fields.get(name)}


def _last(own: list[LogLine]) -> LogLine:
    """Give the last line that the request itself wrote; what became of a runner comes later."""
    return next((line for line in reversed(own) if line.name != "run_broken"), own[-1])


def _ended_runners(own: list[LogLine]) -> str:
    ended = [line for line in own if line.name == "run_broken" and line.fields.get("ended")]
    names = ", ".join(str(line.fields.get("runner")) for line in ended)
    return f"; ended while they ran it: {names}" if ended else ""


def _cause(own: list[LogLine], ordered: list[LogLine]) -> str:
    return _cause_of_end(own, ordered) + _ended_runners(own)


def _cause_of_end(own: list[LogLine], ordered: list[LogLine]) -> str:
    last = _last(own)
    for line in own:
        if line.name in ("stream_lost", "request_failed", "stream_out_of_time"):
            last = line
            break
    if last.name == "request_failed":
        return _failure_cause(last, own)
    if last.name == "stream_lost":
        return _loss_cause(last, own, ordered)
    if last.name == "request_answered":
        return f"{_LAST_WORDS[last.name]}: status {last.fields.get('status')}"
    if last.name in _LAST_WORDS:
        return _LAST_WORDS[last.name]
    started_again = any(
        line.name == "relay_started" and line.instance == last.instance and line.time > last.time
        for line in ordered
    )
    if started_again:
        return f"the process of {last.instance} ended while the request was in progress there"
    return f"the logs end with {last.name}: the request was in progress, or its process ended"


def _failure_cause(failed: LogLine, own: list[LogLine]) -> str:
    kind, detail = failed.fields.get("kind"), failed.fields.get("detail")
    for line in own:
        if line.name == "place_refused":
            return (
                f"{kind}: no engine had room in the {line.fields.get('waited_ms')} ms "
                f"for which its caller could be kept waiting; told to come back in "
                f"{line.fields.get('retry_s')} s"
            )
    spoilt = [line for line in own if line.name in ("answer_spoilt", "upstream_broken")]
    if spoilt:
        return f"{kind}: {spoilt[-1].name} ({_brief(spoilt[-1])}); it may have run"
    sends = [line for line in own if line.name == "send_ended"]
    if sends:
        return f"{kind}: its last send ended as {sends[-1].fields.get('result')}"
    return f"{kind}: {detail}"


def _loss_cause(lost: LogLine, own: list[LogLine], ordered: list[LogLine]) -> str:
    runner = str(lost.fields.get("runner"))
    halts = [line for line in own if line.name == "stream_halted"]
    why = halts[-1].fields.get("why") if halts else "broken"
    noticed = any(
        line.name == "runner_leaves" and line.fields.get("runner") == runner for line in ordered
    )
    copies = [line for line in own if line.name == "move_ended" and not line.fields.get("stop")]
    tried = f"; copies tried: {', '.join(str(one.fields.get('outcome')) for one in copies)}"
    return (
        f"runner {runner} was {why} after {lost.fields.get('events')} events, "
        f"{'after its notice' if noticed else 'without a notice'}, and no copy could go on"
        f"{tried if copies else '; no copy was made'}"
    )


def _brief(line: LogLine) -> str:
    return ", ".join(f"{name} {value}" for name, value in line.fields.items() if name != "request")
