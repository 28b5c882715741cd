"""Which instances an instance without links to runners asks for tunnels. Does no I/O."""

import random
from collections.abc import Iterable, Mapping

from egretstack.fleet import Instance, InstanceState, KnownInstance
from egretstack.ids import InstanceId, RegionName, ZoneName

AVOIDED_S = 1.0
"""How long an instance that could not help is asked only after all others."""


class HelperChoice:
    """Chooses helpers, and remembers those that could not help lately."""

    def __init__(
        self,
        own: Instance,
        region_by_zone: Mapping[ZoneName, RegionName],
        rng: random.Random,
    ) -> None:
        self._own = own
        self._region_by_zone = region_by_zone
        self._rng = rng
        self._avoided_until_s_by_id: dict[InstanceId, float] = {}

    def choose(
        self, now_s: float, live: Iterable[KnownInstance], runner_zone: ZoneName, count: int
    ) -> list[Instance]:
        """Return up to `count` of the live instances, the best first.

        Only instances in the region of this instance or of the runner are chosen: a request that is
        bound to regions passes no others.
        """
        self._forget(now_s)
        regions = {self._region_by_zone.get(zone) for zone in (self._own.zone, runner_zone)}
        helpers = [
            known.instance
            for known in live
            if known.instance.id != self._own.id
            and known.state is InstanceState.READY
            and known.reaches_runners
            and self._region_by_zone.get(known.instance.zone) in regions
        ]
        helpers.sort(key=lambda one: (*self._order(one, runner_zone), self._rng.random()))
        return helpers[:count]

    def record_refused(self, now_s: float, helper: InstanceId) -> None:
        """Record that an instance could not help."""
        self._avoided_until_s_by_id[helper] = now_s + AVOIDED_S

    def record_helped(self, helper: InstanceId) -> None:
        """Record that an instance opened a tunnel."""
        self._avoided_until_s_by_id.pop(helper, None)

    def _order(self, helper: Instance, runner_zone: ZoneName) -> tuple[bool, bool, bool]:
        # The links of a whole zone may be cut at once, so those of the own zone come last.
        return (
            helper.id in self._avoided_until_s_by_id,
            helper.zone == self._own.zone,
            helper.zone != runner_zone,
        )

    def _forget(self, now_s: float) -> None:
        for helper, until_s in list(self._avoided_until_s_by_id.items()):
            if until_s <= now_s:
                del self._avoided_until_s_by_id[helper]
