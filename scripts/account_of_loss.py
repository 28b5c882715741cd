"""Tells, from the processes' logs of a played day, why requests were not served in time.

    python scripts/account_of_loss.py SITE LOG...

SITE is the site file, which has the worth and the target of each kind of request. Each LOG is what
a player printed of the processes: a time, an instance and a log line in JSON. For each cause the
table gives the requests and the worth they cost, and what some decision could have saved; each
attempt of a client counts by itself.
"""

import json
import re
import tomllib
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from cyclopts import App

app = App(help=__doc__)

_LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})")
ROUTE_RANKS = 100
"""Number of route ranks within one rank of client accounts in the logged rank."""
LATE_WAIT_S = 0.2
"""Queueing time from which a late first token is attributed to queueing."""


class Cause(Enum):
    """Why a request was not served in time, and whether another decision could have avoided it."""

    PROCESS_ENDED = ("the process that served it ended", False)
    RUNNER_FAILED = ("the runner ran it and failed it", False)
    CLIENT_LEFT = ("its client left first", False)
    NOT_OWED = ("not owed: no configuration allows it", False)
    OUT_OF_TIME = ("its time ran out at the runner, or it tried a timeout", False)
    NO_COPY = ("the engine left or crashed before a copy was whole", True)
    NOT_CONTINUED = ("its copy could not be continued", True)
    NO_CAPACITY = ("refused: it waited for room, and none came", True)
    REFUSED = ("refused for another reason", True)
    UNKNOWN = ("what became of it at the runner is not known", True)
    LATE_QUEUED = ("late: it waited for room", True)
    LATE_PREFILL = ("late: its prompt was read late", True)
    PAUSE_MOVED = ("late: a pause while it moved", True)
    PAUSE = ("late: a pause at its engine", True)

    def __init__(self, description: str, is_avoidable: bool) -> None:
        self.description = description
        self.is_avoidable = is_avoidable


_NOT_COUNTED = (Cause.CLIENT_LEFT, Cause.NOT_OWED, Cause.OUT_OF_TIME)
"""Causes whose requests are not owed. The log does not distinguish a request that only tests a
timeout from one that ran out of time at its runner, so neither is counted."""


@dataclass(frozen=True)
class RequestKind:
    """A kind of request from the site file."""

    name: str
    worth: float
    late_worth: float
    target_ms: float
    pause_ms: float | None


@dataclass
class AttemptLog:
    """The log lines of one attempt, and the instance that served it."""

    instance: str
    lines: list[tuple[float, dict]] = field(default_factory=list)

    def first(self, name: str) -> dict | None:
        """Return the first line of an event, or None."""
        return next((line for _, line in self.lines if line["name"] == name), None)

    def has(self, name: str) -> bool:
        """Return whether an event was logged."""
        return self.first(name) is not None


@app.default
def account(site: Path, *logs: Path) -> None:
    """Print the account of each log, and of all together."""
    kinds = _read_kinds(site)
    total: Counter[Cause] = Counter()
    total_worth: Counter[Cause] = Counter()
    owed = 0.0
    for log in logs:
        counts, worths, log_owed = _count_causes(kinds, _read_attempts(log))
        total += counts
        total_worth += worths
        owed += log_owed
    print(f"{len(logs)} days, worth owed {owed:.0f}")
    for cause in sorted(Cause, key=lambda one: -total_worth[one]):
        if total[cause]:
            share = total_worth[cause] / max(1.0, owed)
            mark = "avoidable" if cause.is_avoidable else ""
            print(f"{total[cause]:6d}  {share:7.4f}  {cause.description}  {mark}")
    lost = sum(worth for cause, worth in total_worth.items() if cause not in _NOT_COUNTED)
    avoidable = sum(worth for cause, worth in total_worth.items() if cause.is_avoidable)
    if not owed:
        return  # The logs contain no request that is owed.
    print(f"served {1 - lost / owed:.4f}, attainable {1 - (lost - avoidable) / owed:.4f}")


def _read_kinds(site: Path) -> list[RequestKind]:
    """Return the kinds of generations by rank, then the plain requests as a single kind."""
    classes = tomllib.loads(site.read_text())["classes"]
    kinds = [
        RequestKind(
            row["name"],
            row["worth"],
            row["late_worth"],
            row["aim_ms"],
            row["stream"]["gap_aim_ms"] if "stream" in row else None,
        )
        for row in sorted(classes, key=lambda row: row["priority"])
    ]
    plain = [kind for kind in kinds if kind.pause_ms is None][:1]
    return [kind for kind in kinds if kind.pause_ms is not None] + plain


def _read_attempts(log: Path) -> Iterator[AttemptLog]:
    log_by_attempt: dict[str, AttemptLog] = {}
    for text in log.read_text(errors="replace").splitlines():
        match = _LINE.match(text)
        if match is None:
            continue
        try:
            line = json.loads(match[3])
        except ValueError:
            continue  # Output of the player that only resembles a log line.
        attempt = line.get("request")
        if attempt:
            attempt_log = log_by_attempt.setdefault(attempt, AttemptLog(match[2]))
            attempt_log.lines.append((float(match[1]), line))
    return iter(log_by_attempt.values())


def _count_causes(
    kinds: list[RequestKind], attempts: Iterable[AttemptLog]
) -> tuple[Counter[Cause], Counter[Cause], float]:
    counts: Counter[Cause] = Counter()
    worths: Counter[Cause] = Counter()
    owed = 0.0
    sizes: dict[str, list[float]] = defaultdict(list)
    causes = []
    for attempt in attempts:
        placed = attempt.first("placed")
        kind = (
            kinds[-1]
            if placed is None
            else kinds[min(placed["rank"] % ROUTE_RANKS, len(kinds) - 2)]
        )
        size = 1.0 if placed is None else placed["prompt"] + 10.0 * (placed["hint"] or 0)
        sizes[kind.name].append(size)
        causes.append((kind, size, _find_cause(kind, attempt)))
    for kind, size, cause in causes:
        mean = sum(sizes[kind.name]) / len(sizes[kind.name])
        worth = kind.worth * min(4.0, 0.3 + 0.7 * size / mean)
        if cause not in _NOT_COUNTED:
            owed += worth
        if cause is None:
            continue
        late = cause.description.startswith("late")
        counts[cause] += 1
        worths[cause] += worth * (1 - kind.late_worth / kind.worth if late else 1)
    return counts, worths, owed


def _find_cause(kind: RequestKind, attempt: AttemptLog) -> Cause | None:
    """Return why a request was not served in time, or None if it was."""
    if attempt.has("stream_ended"):
        return _find_late_cause(kind, attempt)
    if attempt.has("stream_lost"):
        return Cause.NOT_CONTINUED if attempt.has("stream_not_continued") else Cause.NO_COPY
    if attempt.has("client_left"):
        return Cause.CLIENT_LEFT
    failed = attempt.first("request_failed")
    if failed is not None:
        return _find_refusal_cause(failed)
    answered = attempt.first("request_answered")
    if answered is None:
        return Cause.PROCESS_ENDED
    if answered["status"] >= 500:
        return Cause.RUNNER_FAILED
    return Cause.PAUSE if answered["took_ms"] > kind.target_ms else None


def _find_late_cause(kind: RequestKind, attempt: AttemptLog) -> Cause | None:
    ended, placed = attempt.first("stream_ended"), attempt.first("placed")
    if ended["first_ms"] > kind.target_ms:
        waited_s = placed["waited_ms"] / 1000 if placed else 0.0
        return Cause.LATE_QUEUED if waited_s > LATE_WAIT_S else Cause.LATE_PREFILL
    if kind.pause_ms is not None and ended["longest_gap_ms"] > kind.pause_ms:
        return Cause.PAUSE_MOVED if attempt.has("stream_continued") else Cause.PAUSE
    return None


def _find_refusal_cause(failed: dict) -> Cause | None:
    if failed["kind"] in ("not-found", "unauthenticated"):
        return Cause.NOT_OWED
    if failed["kind"] == "out-of-time":
        return Cause.OUT_OF_TIME
    if failed["kind"] == "engines-full":
        return Cause.NO_CAPACITY
    return Cause.UNKNOWN if failed["kind"] == "outcome-unknown" else Cause.REFUSED


if __name__ == "__main__":
    app()
