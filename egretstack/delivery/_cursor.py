"""The place in one generation up to which events were passed on."""

from enum import Enum

from egretstack.ids import GenerationId


class Verdict(Enum):
    """What to do with an event."""

    DELIVER = "deliver"
    DROP = "drop"
    GAP = "gap"
    OTHER_GENERATION = "foreign"


class Cursor:
    """Decides on each event of a stream whether it is the next one of the bound generation."""

    def __init__(self, generation: GenerationId | None = None, last: int = -1) -> None:
        self.generation = generation
        self.last = last
        """Sequence number of the last event passed on; -1 before the first."""

    def offer(self, generation: GenerationId, sequence: int) -> Verdict:
        """Judge an event; only a verdict of DELIVER moves the cursor."""
        if self.generation is None:
            self.generation = generation
        if generation != self.generation:
            # Passing it on would splice two generations: the reader would see one answer's
            # first half and another's second half.
            return Verdict.OTHER_GENERATION
        if sequence <= self.last:
            return Verdict.DROP
        if sequence > self.last + 1:
            return Verdict.GAP
        self.last = sequence
        return Verdict.DELIVER
