"""Strikes against the parts of prompts that requests share, and their rows in messages."""

from collections.abc import Iterable
from dataclasses import dataclass

from egretstack.crashes._checks import MAX_ID_LENGTH, checked_age_s, checked_id
from egretstack.ids import AttemptId, PartId, RunnerId
from egretstack.messages import MessageError

MAX_PARTS = 64
"""Maximum number of parts in one row; a prompt has a few."""


@dataclass(frozen=True, slots=True)
class StruckParts:
    """The parts of the prompt of one run under which a runner ended."""

    shared: tuple[PartId, ...]
    own: PartId
    """Stands for what no other request has."""


@dataclass(frozen=True, slots=True)
class PartStrike:
    """One end of a runner as a run with a part began there; times are on this process's clock."""

    runner: RunnerId
    sent_s: float
    ended_s: float
    attempt: AttemptId = AttemptId("")
    """The run, which the instances' reports may name more than once."""


def chain(strikes: Iterable[PartStrike]) -> list[PartStrike]:
    """Return the most strikes of which each run was sent after the end before.

    Runs that lose their runners in one moment count once.
    """
    found: list[PartStrike] = []
    for strike in sorted(strikes, key=lambda one: one.ended_s):
        if not found or strike.sent_s > found[-1].ended_s:
            found.append(strike)
    return found


def part_strikes_row(parts: StruckParts, strike: PartStrike, now_s: float) -> list:
    """Return a run's strike against its parts as a row for a message; ages are in ms."""
    ages_ms = [round((now_s - time_s) * 1000) for time_s in (strike.sent_s, strike.ended_s)]
    return [
        list(parts.shared)[:MAX_PARTS],
        parts.own,
        strike.runner,
        *ages_ms,
        strike.attempt[:MAX_ID_LENGTH],
    ]


def part_strikes_from_row(row: object, now_s: float) -> tuple[StruckParts, PartStrike]:
    """Parse the row of a run's strike against its parts. Raises MessageError."""
    try:
        shared, own, runner, sent_ms, ended_ms, attempt = row
        if not isinstance(shared, list) or len(shared) > MAX_PARTS:
            raise ValueError("invalid parts")
        sent_s, ended_s = (now_s - checked_age_s(age_ms) for age_ms in (sent_ms, ended_ms))
        if not isinstance(attempt, str):
            raise ValueError("invalid attempt")
        strike = PartStrike(
            RunnerId(checked_id(runner)), sent_s, ended_s, AttemptId(attempt[:MAX_ID_LENGTH])
        )
        parts = tuple(PartId(checked_id(part)) for part in shared)
        return StruckParts(parts, PartId(checked_id(own))), strike
    except (TypeError, ValueError) as error:
        raise MessageError(f"not a strike against parts: {error}") from error


def proof_row(part: PartId, began_s: float, now_s: float) -> list:
    """Return a proof that a part is sound as a row for a message; the age is in ms."""
    return [part, round((now_s - began_s) * 1000)]


def proof_from_row(row: object, now_s: float) -> tuple[PartId, float]:
    """Parse the row of a proof; return the part and when the run began. Raises MessageError."""
    try:
        part, age_ms = row
        return PartId(checked_id(part)), now_s - checked_age_s(age_ms)
    except (TypeError, ValueError) as error:
        raise MessageError(f"not a proof: {error}") from error
