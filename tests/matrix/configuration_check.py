"""Checks that an accepted configuration is in force everywhere in time and is never reverted."""

from tests.matrix.history import (
    ChangeAnswer,
    ChangeAnswered,
    HeadWritten,
    History,
    InForce,
    Killed,
    Paused,
    Resumed,
    Stopped,
    StoreAvailable,
    StoreUnavailable,
)

IN_FORCE_LIMIT_S = 5.0
"""Maximum time from the acceptance of a change until it is in force in every process."""


def check_configuration_history(history: History) -> list[str]:
    """Check the answers to changes, the chain of heads, and what each process has in force."""
    return (
        _wrong_answers(history)
        + _broken_chain(history)
        + _reverts(history)
        + _late_or_missing(history)
    )


def _wrong_answers(history: History) -> list[str]:
    revision = {one.change: one.revision for one in history.of(HeadWritten)}
    broken = []
    for answered in history.of(ChangeAnswered):
        accepted = answered.answer is ChangeAnswer.ACCEPTED
        if accepted and revision.get(answered.change) != answered.revision:
            broken.append(
                f"{answered.change}: told accepted as {answered.revision}, is not in the store"
            )
        refused = answered.answer in (ChangeAnswer.CONFLICT, ChangeAnswer.UNAVAILABLE)
        if refused and answered.change in revision:
            broken.append(f"{answered.change}: told {answered.answer.value}, was accepted")
    return broken


def _broken_chain(history: History) -> list[str]:
    """Check that each head is the previous one with only the part of its change replaced."""
    answer_by_change = {one.change: one for one in history.of(ChangeAnswered)}
    broken = []
    heads = history.of(HeadWritten)
    for before, after in zip(heads, heads[1:], strict=False):
        if after.revision != before.revision + 1:
            broken.append(f"revision {after.revision} follows {before.revision}")
        names = before.digest_by_part.keys() | after.digest_by_part.keys()
        answered = answer_by_change.get(after.change)
        own_part = answered.part if answered else ""
        if answered and before.digest_by_part.get(own_part) != answered.base:
            broken.append(f"{after.change} overwrote a change of {own_part} that it had not seen")
        for part in sorted(names - {own_part}):
            if before.digest_by_part.get(part) != after.digest_by_part.get(part):
                broken.append(f"{after.change} changed {part}, which is not its own")
    return broken


def _reverts(history: History) -> list[str]:
    digests = {one.revision: one.digest_by_part for one in history.of(HeadWritten)}
    broken = []
    newest: dict[str, int] = {}
    for event in history.of(InForce):
        if event.revision < newest.get(event.process, 0):
            broken.append(f"{event.process} went from {newest[event.process]} to {event.revision}")
        newest[event.process] = max(newest.get(event.process, 0), event.revision)
        if digests.get(event.revision) != event.digest_by_part:
            broken.append(f"{event.process}: revision {event.revision} is not the accepted one")
    return broken


def _late_or_missing(history: History) -> list[str]:
    end_s = history.end_s()
    broken = []
    processes = {one.process for one in history.of(InForce)}
    ended = {one.process: one.at_s for one in history.of(Killed)}
    ended |= {one.entry: one.at_s for one in history.of(Stopped)}
    for head in history.of(HeadWritten):
        for process in sorted(processes):
            limit_s = _limit_s(history, process, head.at_s)
            if limit_s > min(end_s, ended.get(process, end_s)):
                continue
            if not _in_force_by(history, process, head.revision, limit_s):
                broken.append(f"{process}: revision {head.revision} not in force in time")
    return broken


def _in_force_by(history: History, process: str, revision: int, limit_s: float) -> bool:
    reports = [one for one in history.of(InForce) if one.process == process]
    if reports[0].at_s > limit_s:
        # The process had not started yet.
        return True
    return any(one.revision >= revision and one.at_s <= limit_s for one in reports)


def _limit_s(history: History, process: str, accepted_s: float) -> float:
    """Return the latest time for a process to have a revision in force; it starts anew after each
    time in which the store was unavailable or the process paused."""
    limit_s = accepted_s + IN_FORCE_LIMIT_S
    for start_s, stop_s in _pauses(history, process):
        if start_s < limit_s and stop_s > accepted_s:
            limit_s = max(limit_s, stop_s + IN_FORCE_LIMIT_S)
    return limit_s


def _pauses(history: History, process: str) -> list[tuple[float, float]]:
    rows: list[tuple[float, float]] = []
    unavailable = [one.at_s for one in history.of(StoreUnavailable)]
    available = [one.at_s for one in history.of(StoreAvailable)]
    rows.extend((start, _first_after(available, start)) for start in unavailable)
    paused = [one.at_s for one in history.of(Paused) if one.process == process]
    resumed = [one.at_s for one in history.of(Resumed) if one.process == process]
    rows.extend((start, _first_after(resumed, start)) for start in paused)
    return sorted(rows)


def _first_after(times: list[float], start_s: float) -> float:
    return min((one for one in times if one >= start_s), default=float("inf"))
