"""Says in words why a request waited, was refused early or was resumed, from its log lines."""

from collections.abc import Callable
from dataclasses import dataclass, field

NOTED_WAIT_MS = 100
"""Shortest wait for a place that is mentioned: some round trips to the home."""
MAX_NAMED_ACCOUNTS = 5
SPEED_EVENTS = frozenset({"engine_speed_learned", "engine_speed_changed", "engine_speed_typical"})
_SHARE_EVENTS = frozenset({"share_exceeded", "share_kept"})
_HEADROOM_EVENTS = frozenset({"headroom_begun", "headroom_ended"})
HOME_EVENTS = SPEED_EVENTS | _SHARE_EVENTS | _HEADROOM_EVENTS
"""Events of the home that tell of the fleet; their lines name no request."""

_REFUSAL_BY_REASON = {
    "no_room": "no place was forecast within its wait",
    "overtaken": "others went first, or runs took longer than forecast, and its wait was too short "
    "for the next place",
    "early_return": "its caller returned before the time that it was given",
    "account_limit": "too many requests of its client account waited already",
    "queue_full": "the queue was full",
    "too_late": "it could no longer be in time, and a late answer was not worth the wait",
}
_RETURN_BY_EVENT = {
    "return_kept": "its caller came back at the time it was given, and went before newcomers",
    "return_early": "its caller came back before the time it was given",
    "return_missed": "its caller did not come back at the time it was given",
}
_WORDS_BY_WHY = {"broken": "broke off", "silent": "went silent", "leaving": "was leaving"}


@dataclass(frozen=True)
class LogLine:
    """One log line of one instance; `time` orders lines as far as the instances' clocks agree."""

    time: str
    instance: str
    name: str
    fields: dict[str, object] = field(hash=False)


def describe_early_refusal(own: list[LogLine]) -> str:
    """Return why a request was refused before its longest wait; empty if it was not."""
    refused = [line for line in own if line.name in ("refused_early", "refused_alone")]
    if not refused:
        return ""
    fields = refused[-1].fields
    reason = str(fields.get("reason"))
    text = f"refused early, since {_REFUSAL_BY_REASON.get(reason, reason)}"
    if refused[-1].name == "refused_alone":
        text += "; its instance decided by its own view, since the home did not answer"
    forecast = fields.get("forecast_wait_s")
    ahead = fields.get("ahead")
    text += f" (forecast: {'none in sight' if forecast is None else f'{forecast} s'}"
    text += f", could wait {fields.get('left_s')} s"
    text += f", {ahead} like it ahead)" if ahead else ")"
    given = any(line.name == "return_given" for line in own)
    kind = "with a return slot" if given else "without a return slot"
    return f"{text}; told to come back in {fields.get('retry_s')} s, {kind}"


def describe_notes(own: list[LogLine], ordered: list[LogLine]) -> str:
    """Return what else happened to a request on its way; empty if nothing special did."""
    notes = []
    for line in own:
        describe = _NOTE_BY_EVENT.get(line.name)
        if describe is not None:
            notes.append(describe(line, own, ordered))
    has_waited = any(
        line.name in ("place_refused", "refused_early")
        or (line.name == "placed" and _number(line, "waited_ms") >= NOTED_WAIT_MS)
        for line in own
    )
    if has_waited:
        notes.append(_describe_scarcity(own, ordered))
    return "".join(f"; {note}" for note in dict.fromkeys(notes) if note)


def _describe_wait(line: LogLine, own: list[LogLine], ordered: list[LogLine]) -> str:
    waited_ms = _number(line, "waited_ms")
    if waited_ms < NOTED_WAIT_MS:
        return ""
    return f"it waited {waited_ms:g} ms for a place, until {line.fields.get('runner')} had room"


def _describe_beyond(line: LogLine, own: list[LogLine], ordered: list[LogLine]) -> str:
    runner = line.fields.get("runner")
    return (
        f"placed at {runner} beyond its targets, since no engine with room was likely to keep them "
        f"(forecast: first token after {line.fields.get('first_token_ms')} ms, longest pause "
        f"{line.fields.get('pause_ms')} ms{_speed_words(str(runner), line.time, ordered)})"
    )


def _speed_words(runner: str, time: str, ordered: list[LogLine]) -> str:
    """Return the speed of a runner as known at a time; empty if it was typical or is not known."""
    known = [
        line
        for line in ordered
        if line.name in SPEED_EVENTS and line.fields.get("runner") == runner and line.time <= time
    ]
    if not known or known[-1].name == "engine_speed_typical":
        return ""
    fields = known[-1].fields
    return (
        f"; this engine takes {fields.get('prefill_percent')}% of the typical time for prompts and "
        f"{fields.get('step_percent')}% between events"
    )


def _describe_returned(line: LogLine, own: list[LogLine], ordered: list[LogLine]) -> str:
    return f"its client had come back for the rest of the stream after event {_after(line)}"


def _describe_sent_again(line: LogLine, own: list[LogLine], ordered: list[LogLine]) -> str:
    source = line.fields.get("source")
    return f"given up at {source} before its first event, and sent to another runner"


def _describe_resumed(line: LogLine, own: list[LogLine], ordered: list[LogLine]) -> str:
    return (
        f"resumed by a new run at {line.fields.get('runner')} after event {_after(line)}, in "
        f"{line.fields.get('took_ms')} ms, since {_describe_halt(line, own)}"
    )


def _describe_not_resumed(line: LogLine, own: list[LogLine], ordered: list[LogLine]) -> str:
    return (
        f"no other runner resumed it after event {_after(line)} within its time and limits "
        f"({line.fields.get('detail')}), after {_describe_halt(line, own)}"
    )


def _describe_return(line: LogLine, own: list[LogLine], ordered: list[LogLine]) -> str:
    return _RETURN_BY_EVENT[line.name]


def _describe_halt(resumed: LogLine, own: list[LogLine]) -> str:
    source = resumed.fields.get("source")
    halts = [
        line for line in own if line.name == "stream_halted" and line.fields.get("runner") == source
    ]
    why = str(halts[-1].fields.get("why")) if halts else "broken"
    return f"{source} {_WORDS_BY_WHY.get(why, f'stopped ({why})')}"


def _describe_scarcity(own: list[LogLine], ordered: list[LogLine]) -> str:
    """Return which accounts were above their share, and where headroom was kept, at the time."""
    until = own[-1].time
    before = [line for line in ordered if line.time <= until]
    above = _still_on(before, "share_exceeded", "share_kept", "account")
    services = _still_on(before, "headroom_begun", "headroom_ended", "service")
    notes = []
    if above:
        named = ", ".join(above[:MAX_NAMED_ACCOUNTS])
        more = len(above) - MAX_NAMED_ACCOUNTS
        notes.append(f"above their share then: {named}{f' and {more} more' if more > 0 else ''}")
    if services:
        notes.append(f"room was left free for more urgent requests of {', '.join(services)}")
    return "; ".join(notes)


def _still_on(lines: list[LogLine], begins: str, ends: str, name: str) -> list[str]:
    """Return the values that began and have not ended, in order; each home counts by itself."""
    on: dict[tuple[str, str, str], None] = {}
    for line in lines:
        key = line.instance, str(line.fields.get(name)), str(line.fields.get("rank"))
        if line.name == begins:
            on[key] = None
        elif line.name == ends:
            on.pop(key, None)
        elif line.name == "relay_started":
            on = {one: None for one in on if one[0] != line.instance}
    return list(dict.fromkeys(value for _, value, _ in on))


def _after(line: LogLine) -> object:
    return line.fields.get("after") or "0"


def _number(line: LogLine, name: str) -> float:
    value = line.fields.get(name)
    return value if isinstance(value, int | float) else 0.0


_NOTE_BY_EVENT: dict[str, Callable[[LogLine, list[LogLine], list[LogLine]], str]] = {
    "placed": _describe_wait,
    "placed_beyond_target": _describe_beyond,
    "stream_returned": _describe_returned,
    "stream_sent_again": _describe_sent_again,
    "stream_resumed": _describe_resumed,
    "stream_not_resumed": _describe_not_resumed,
    **dict.fromkeys(_RETURN_BY_EVENT, _describe_return),
}
