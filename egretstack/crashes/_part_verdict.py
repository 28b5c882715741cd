"""Decides which parts of prompts crash runners: the least set of parts that explains the ends.

An end of a runner is a strike against every part of every run that began there. Once a part is
found guilty, the ends under it no longer count against other parts. What is one request's own
counts as a part, too: if the same request comes again and again, that explains the ends, and its
shared parts are left alone.

Runners also end for other reasons, and a sound part may be there by chance, several times in a
row. How many ends it takes follows from how many runs meet an end that the part has nothing to do
with.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from math import ceil, log

from egretstack.crashes._part_strikes import PartStrike, chain
from egretstack.ids import PartId, RunnerId

MIN_CHAIN = 3
"""Ends of runners in a row, without a proof in between, from which a part may be guilty."""
MIN_CHAIN_ONCE_PROVEN = 5
"""The same for a part that has been proven sound before."""
PRIOR_RUNS = 30
"""Runs without an end that are assumed before enough have been seen."""
CHANCE = 1e-3
"""Probability that a sound part is in as many ends in a row, from which it may be guilty."""
CHANCE_TO_KEEP = 1e-2
"""The same for a part that has been found guilty already."""


@dataclass(frozen=True, slots=True)
class SuspectPart:
    """The strikes against one part since it was last proven sound."""

    strikes: tuple[PartStrike, ...]
    was_proven: bool = False
    """Whether it was ever proven sound before."""
    is_own: bool = False
    """Whether it stands for what is one request's own."""


@dataclass(frozen=True, slots=True)
class RecentRuns:
    """How the runs of the whole fleet that began in the last seconds came out."""

    proven: int = 0
    """Runs that proved their parts."""
    broken_by_runner: Mapping[RunnerId, int] = field(default_factory=dict)
    """Runs that had just begun as their runner ended."""

    def chance_of_end(self, runners: Collection[RunnerId]) -> float:
        """Return the share of runs that met an end of another runner than these."""
        broken = sum(n for runner, n in self.broken_by_runner.items() if runner not in runners)
        return broken / (broken + self.proven + PRIOR_RUNS)


@dataclass(frozen=True, slots=True)
class _Candidate:
    part: PartId
    was_proven: bool
    chain_length: int
    runners: frozenset[RunnerId]

    @property
    def suspicion(self) -> tuple[bool, int, int]:
        return not self.was_proven, self.chain_length, len(self.runners)

    def is_tied_with(self, other: "_Candidate") -> bool:
        """Return whether nothing tells two candidates apart."""
        return self.runners == other.runners and self.was_proven == other.was_proven


def find_guilty(
    suspects: Mapping[PartId, SuspectPart],
    recent: RecentRuns,
    known: Collection[PartId] = (),
) -> dict[PartId, frozenset[PartId]]:
    """Return the guilty parts, each with all those that it is tied with, itself included.

    A request is to be refused if it has all parts of such a group. Ends that a single request
    explains are left to the record of whole requests. Parts that are `known` to be guilty stay so
    until all their ends are refuted or explained by others, or runners end all the time.
    """
    guilty: dict[PartId, frozenset[PartId]] = {}
    explained: set[RunnerId] = set()
    while candidates := _candidates(suspects, explained, recent, known):
        first = max(candidates, key=lambda one: (one.suspicion, one.part))
        group = frozenset(one.part for one in candidates if one.is_tied_with(first))
        if not any(suspects[part].is_own for part in group):
            guilty |= dict.fromkeys(group, group)
        explained |= first.runners
    return guilty


def refused_parts(
    guilty: Mapping[PartId, frozenset[PartId]], parts: Iterable[PartId]
) -> list[PartId]:
    """Return the parts for which a request is to be refused, one of each group that it has."""
    if not guilty:
        return []
    of_request = frozenset(parts)
    groups = {guilty[part] for part in of_request & guilty.keys() if guilty[part] <= of_request}
    return sorted(min(group) for group in groups)


def _candidates(
    suspects: Mapping[PartId, SuspectPart],
    explained: set[RunnerId],
    recent: RecentRuns,
    known: Collection[PartId],
) -> list[_Candidate]:
    candidates = []
    for part, suspect in suspects.items():
        unexplained = [one for one in suspect.strikes if one.runner not in explained]
        if len(unexplained) < (1 if part in known else MIN_CHAIN):
            continue
        length = len(chain(unexplained))
        runners = frozenset(one.runner for one in unexplained)
        one = _Candidate(part, suspect.was_proven, length, runners)
        chance = recent.chance_of_end(runners | explained)
        is_known = part in known
        if is_known:
            length = len(chain(suspect.strikes))
        if length >= _required_chain(one, chance, is_known=is_known):
            candidates.append(one)
    return candidates


def _required_chain(candidate: _Candidate, chance: float, *, is_known: bool) -> int:
    """Return how many ends it takes if a run meets another cause's end with this chance."""
    if is_known:
        return ceil(log(CHANCE_TO_KEEP) / log(chance)) if chance > 0.0 else 1
    least = MIN_CHAIN_ONCE_PROVEN if candidate.was_proven else MIN_CHAIN
    if chance <= 0.0:
        return least
    return max(least, ceil(log(CHANCE) / log(chance)))
