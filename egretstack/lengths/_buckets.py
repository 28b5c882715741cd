"""Buckets of output length: two for each doubling, from one token to some 180,000."""

from bisect import bisect_right

_DOUBLINGS = 18
_FINE = 4
"""Below this length every token has its own bucket."""

EDGES: tuple[int, ...] = tuple(range(1, _FINE)) + tuple(
    round(2 ** (half / 2)) for half in range(4, 2 * _DOUBLINGS)
)
"""Bucket `b` holds the lengths from `EDGES[b]` to below `EDGES[b + 1]`; the last has no end."""
BUCKETS = len(EDGES)


def bucket_index(tokens: int) -> int:
    """Give the bucket of a length of at least one token."""
    return bisect_right(EDGES, tokens) - 1
