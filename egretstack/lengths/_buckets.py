"""Buckets of output length: two per doubling, from one token to about 180,000."""

from bisect import bisect_right

_DOUBLINGS = 18
_EXACT_BELOW = 4
"""Below this length every number of tokens has its own bucket."""

EDGES: tuple[int, ...] = tuple(range(1, _EXACT_BELOW)) + tuple(
    round(2 ** (half / 2)) for half in range(4, 2 * _DOUBLINGS)
)
"""Bucket `b` covers lengths from `EDGES[b]` to below `EDGES[b + 1]`; the last is unbounded."""
BUCKETS = len(EDGES)


def bucket_index(tokens: int) -> int:
    """Return the bucket of a length of at least one token."""
    return bisect_right(EDGES, tokens) - 1
