"""The position in a generation up to which its events were delivered."""

from enum import Enum

from egretstack.ids import GenerationId


class Verdict(Enum):
    """Whether an event is delivered, dropped as a duplicate, or shows a fault of the stream."""

    DELIVER = "deliver"
    DROP = "drop"
    GAP = "gap"
    OTHER_GENERATION = "foreign"


class Cursor:
    """Checks that each event of a stream is the next one of the generation it is bound to."""

    def __init__(self, generation: GenerationId | None = None, last: int = -1) -> None:
        self.generation = generation
        self.last = last
        """Sequence number of the last event delivered; -1 before the first."""

    def offer(self, generation: GenerationId, sequence: int) -> Verdict:
        """Return what to do with an event; only DELIVER advances the cursor.

        An unbound cursor binds to the generation of the first event offered.
        """
        if self.generation is None:
            self.generation = generation
        if generation != self.generation:
            # Delivering it would splice two generations: the reader would get the first half
            # of one answer and the second half of another.
            return Verdict.OTHER_GENERATION
        if sequence <= self.last:
            return Verdict.DROP
        if sequence > self.last + 1:
            return Verdict.GAP
        self.last = sequence
        return Verdict.DELIVER
