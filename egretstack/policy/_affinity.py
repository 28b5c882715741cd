"""Tracks which runners are likely to have a prompt prefix in their cache.

The sources are this instance's own sends and the cache events of the runners, which are delayed and
incomplete.
"""

from collections import OrderedDict

from egretstack.ids import RunnerId

MAX_PREFIXES = 4096
MAX_HOLDERS = 8
"""Runners kept for each prefix."""


class PrefixAffinity:
    """Keeps the latest runners that cached each prefix, with LRU eviction of prefixes.

    Cache events are delayed and may be lost, so the result is a guess; a wrong one only costs
    processing the whole prompt.
    """

    def __init__(self) -> None:
        self._holders: OrderedDict[str, list[RunnerId]] = OrderedDict()

    def holds(self, prefix: str, runner_id: RunnerId) -> bool:
        """Return whether a runner is likely to have a prefix in its cache."""
        return bool(prefix) and runner_id in self._holders.get(prefix, ())

    def record_stored(self, prefix: str, runner_id: RunnerId) -> None:
        """Record that a prefix entered a runner's cache."""
        if not prefix:
            return
        holders = self._holders.setdefault(prefix, [])
        self._holders.move_to_end(prefix)
        if runner_id in holders:
            holders.remove(runner_id)
        holders.append(runner_id)
        del holders[:-MAX_HOLDERS]
        while len(self._holders) > MAX_PREFIXES:
            self._holders.popitem(last=False)

    def record_dropped(self, prefix: str, runner_id: RunnerId) -> None:
        """Record that a prefix was evicted from a runner's cache."""
        holders = self._holders.get(prefix, [])
        if runner_id in holders:
            holders.remove(runner_id)

    def forget_runner(self, runner_id: RunnerId) -> None:
        """Remove a runner that gets no more requests."""
        for holders in self._holders.values():
            if runner_id in holders:
                holders.remove(runner_id)
