"""The check that an accepted configuration is in force everywhere in time and never reverts."""

from tests.matrix.history import (
    ChangeAnswer,
    ChangeTold,
    Frozen,
    HeadWritten,
    History,
    InForce,
    Killed,
    Stopped,
    StoreAway,
    StoreBack,
    Thawed,
)

IN_FORCE_LIMIT_S = 5.0
"""Longest time from acceptance to being in force on every process."""


def broken_configuration(history: History) -> list[str]:
    """Check acceptance, the chain of heads, and what each process has in force."""
    return (
        _wrong_answers(history)
        + _broken_chain(history)
        + _reverts(history)
        + _late_or_never(history)
    )


def _wrong_answers(history: History) -> list[str]:
    revision = {one.change: one.revision for one in history.of(HeadWritten)}
    broken = []
    for told in history.of(ChangeTold):
        accepted = told.answer is ChangeAnswer.ACCEPTED
        if accepted and revision.get(told.change) != told.revision:
            broken.append(f"{told.change}: told accepted as {told.revision}, is not in the store")
        refused = told.answer in (ChangeAnswer.CONFLICT, ChangeAnswer.AWAY)
        if refused and told.change in revision:
            broken.append(f"{told.change}: told {told.answer.value}, was accepted")
    return broken


def _broken_chain(history: History) -> list[str]:
    """Each head is the one before it with the parts of one change replaced."""
    told_by_change = {one.change: one for one in history.of(ChangeTold)}
    broken = []
    heads = history.of(HeadWritten)
    for before, after in zip(heads, heads[1:], strict=False):
        if after.revision != before.revision + 1:
            broken.append(f"revision {after.revision} follows {before.revision}")
        names = before.digest_by_part.keys() | after.digest_by_part.keys()
        told = told_by_change.get(after.change)
        own = told.part if told else ""
        if told and before.digest_by_part.get(own) != told.base:
            broken.append(f"{after.change} overwrote a change of {own} that it had not seen")
        for part in sorted(names - {own}):
            if before.digest_by_part.get(part) != after.digest_by_part.get(part):
                broken.append(f"{after.change} changed {part}, which is not its own")
    return broken


def _reverts(history: History) -> list[str]:
    digests = {one.revision: one.digest_by_part for one in history.of(HeadWritten)}
    broken = []
    newest: dict[str, int] = {}
    for one in history.of(InForce):
        if one.revision < newest.get(one.process, 0):
            broken.append(f"{one.process} went from {newest[one.process]} to {one.revision}")
        newest[one.process] = max(newest.get(one.process, 0), one.revision)
        if digests.get(one.revision) != one.digest_by_part:
            broken.append(f"{one.process}: revision {one.revision} is not the accepted one")
    return broken


def _late_or_never(history: History) -> list[str]:
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
        # It was not up yet.
        return True
    return any(one.revision >= revision and one.at_s <= limit_s for one in reports)


def _limit_s(history: History, process: str, accepted_s: float) -> float:
    """Give the latest time; while the store is away or the process frozen no time counts."""
    limit_s = accepted_s + IN_FORCE_LIMIT_S
    for start_s, stop_s in _pauses(history, process):
        if start_s < limit_s and stop_s > accepted_s:
            limit_s = max(limit_s, stop_s + IN_FORCE_LIMIT_S)
    return limit_s


def _pauses(history: History, process: str) -> list[tuple[float, float]]:
    rows: list[tuple[float, float]] = []
    away = [one.at_s for one in history.of(StoreAway)]
    back = [one.at_s for one in history.of(StoreBack)]
    rows.extend((start, _next(back, start)) for start in away)
    frozen = [one.at_s for one in history.of(Frozen) if one.process == process]
    thawed = [one.at_s for one in history.of(Thawed) if one.process == process]
    rows.extend((start, _next(thawed, start)) for start in frozen)
    return sorted(rows)


def _next(times: list[float], start_s: float) -> float:
    return min((one for one in times if one >= start_s), default=float("inf"))
