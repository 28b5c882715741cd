"""The record of one part of prompts, as the home sends it to all instances and the store keeps it.

It has no times, which differ from one process's clock to the next, and so stays equal while nothing
new is known.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from egretstack.crashes._checks import checked_id
from egretstack.crashes._part_strikes import MAX_PARTS, PartStrike, chain
from egretstack.ids import PartId, RunnerId
from egretstack.messages import MessageError

MAX_ENDS = 16


@dataclass(frozen=True, slots=True)
class PartRecord:
    """The ends of runners under a part since it was last proven sound."""

    ends: tuple[tuple[RunnerId, ...], ...]
    """Runners in the order of their ends; those listed together ended together."""
    was_proven: bool = False
    """Whether it was ever proven sound before."""
    is_confirmed: bool = False
    """Whether a trial has shown that it is guilty."""
    is_own: bool = False
    """Whether it stands for what is one request's own."""
    tied_with: frozenset[PartId] = frozenset()
    """If it is guilty, the parts that a refused request has, this one included."""

    @property
    def runners(self) -> tuple[RunnerId, ...]:
        """The runners in the order of their ends."""
        return tuple(runner for together in self.ends for runner in together)


def ends_in_order(strikes: Iterable[PartStrike]) -> tuple[tuple[RunnerId, ...], ...]:
    """Return the runners of strikes, with those that ended together in one tuple."""
    ordered = sorted(strikes, key=lambda one: one.ended_s)
    begins = {one.runner for one in chain(ordered)}
    groups: list[list[RunnerId]] = []
    for strike in ordered:
        if strike.runner in begins:
            groups.append([])
        groups[-1].append(strike.runner)
    return tuple(tuple(group) for group in groups)


def part_record_row(record: PartRecord) -> list:
    """Return a record as a row for a message or the store."""
    ends = [list(together) for together in record.ends]
    return [ends, record.was_proven, record.is_confirmed, record.is_own, sorted(record.tied_with)]


def part_record_from_row(row: object) -> PartRecord:
    """Parse the row of a record. Raises MessageError."""
    try:
        ends, *flags, tied_with = row
        was_proven, is_confirmed, is_own = flags
        ends = tuple(tuple(RunnerId(checked_id(one)) for one in together) for together in ends)
        if sum(map(len, ends)) > MAX_ENDS or not all(ends):
            raise ValueError("invalid ends")
        if not all(isinstance(flag, bool) for flag in flags):
            raise ValueError("a flag is not a boolean")
        if len(tied_with) > MAX_PARTS:
            raise ValueError("too many tied parts")
        tied = frozenset(PartId(checked_id(one)) for one in tied_with)
    except (TypeError, ValueError) as error:
        raise MessageError(f"not a record of a part: {error}") from error
    return PartRecord(ends, was_proven, is_confirmed, is_own, tied)
