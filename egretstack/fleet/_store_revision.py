"""Revisions of the store, in the order in which it gave them out.

A store that comes back from an older copy gives revisions out again. Each such return begins an
era; a revision is ordered by its era first, so that it can be compared wherever it came from.
"""

from egretstack.ids import StoreRevision

_NUMBER_BITS = 44
MAX_ERA = (1 << 19) - 1


def store_revision(era: int, number: int) -> StoreRevision:
    """Return the revision that the store gave out under a number in an era."""
    return StoreRevision((min(era, MAX_ERA) << _NUMBER_BITS) | (number & ((1 << _NUMBER_BITS) - 1)))


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> _NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the number that the store itself knows a revision by."""
    return revision & ((1 << _NUMBER_BITS) - 1)
