"""Which runners an instance uses: a stable subset, so that reports stay within its budget."""

from collections.abc import Iterable
from hashlib import blake2b

from egretstack.ids import InstanceId, RunnerId

SUBSET_SIZE = 32
"""Runners of one service that one instance reads reports of and sends work to."""


def report_subset(
    instance: InstanceId, runners: Iterable[RunnerId], size: int = SUBSET_SIZE
) -> frozenset[RunnerId]:
    """Give the runners of a service that an instance uses, by rendezvous hashing.

    A runner that comes or goes changes at most one member of any instance's subset.
    """
    found = list(runners)
    if len(found) <= size:
        return frozenset(found)
    return frozenset(sorted(found, key=lambda runner: _rank(instance, runner))[:size])


def _rank(instance: InstanceId, runner: RunnerId) -> bytes:
    return blake2b(f"{instance}/{runner}".encode(), digest_size=8).digest()
