"""Which runners hold a prompt's prefix, by own sends and by late, gapped news."""

from collections import OrderedDict

from egretstack.ids import RunnerId

MAX_PREFIXES = 4096
HOLDERS = 8
"""Runners remembered for one prefix."""


class PrefixAffinity:
    """Remembers the latest holders of each prefix; the prefix unused longest goes first.

    News is late and has gaps, so a holder is only a likely one: a wrong guess costs reading the
    prompt, no more.
    """

    def __init__(self) -> None:
        self._holders: OrderedDict[str, list[RunnerId]] = OrderedDict()

    def holds(self, prefix: str, runner_id: RunnerId) -> bool:
        """Tell whether a runner is likely to hold a prefix."""
        return bool(prefix) and runner_id in self._holders.get(prefix, ())

    def stored(self, prefix: str, runner_id: RunnerId) -> None:
        """Note that a runner took a prefix in."""
        if not prefix:
            return
        holders = self._holders.setdefault(prefix, [])
        self._holders.move_to_end(prefix)
        if runner_id in holders:
            holders.remove(runner_id)
        holders.append(runner_id)
        del holders[:-HOLDERS]
        while len(self._holders) > MAX_PREFIXES:
            self._holders.popitem(last=False)

    def dropped(self, prefix: str, runner_id: RunnerId) -> None:
        """Note that a runner let a prefix go."""
        holders = self._holders.get(prefix, [])
        if runner_id in holders:
            holders.remove(runner_id)

    def forget_runner(self, runner_id: RunnerId) -> None:
        """Note that a runner left."""
        for holders in self._holders.values():
            if runner_id in holders:
                holders.remove(runner_id)
