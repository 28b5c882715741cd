"""Forecasts when engines' network links are free for copies of memory. The time is passed in.

An engine sends its copies one after another, and receives them one after another. Copies that meet
at one engine wait there for seconds; a sender that gives up on one leaves memory allocated there.
"""

from egretstack.fleet import Runner
from egretstack.ids import RunnerId
from egretstack.routing import EngineConfig

BITS_PER_BYTE = 8
MEGA = 1e6
OTHER_ZONE_FACTOR = 2.0
"""A copy to another availability zone takes this many times as long."""


def copy_time_s(engine: EngineConfig, tokens: float, *, near: bool) -> float:
    """Return how long a copy of `tokens` takes on free links, within a zone or across zones."""
    if engine.link_mbps <= 0:
        return 0.0
    copy_s = tokens * engine.kv_token_bytes * BITS_PER_BYTE / (engine.link_mbps * MEGA)
    return copy_s if near else OTHER_ZONE_FACTOR * copy_s


class CopyLinks:
    """The copies in progress, by the engines at both ends."""

    def __init__(self) -> None:
        self._out_until_s: dict[RunnerId, float] = {}
        self._in_until_s: dict[RunnerId, float] = {}

    def wait_s(self, now_s: float, source: RunnerId, destination: RunnerId) -> float:
        """Return how long a copy would wait before it starts."""
        until_s = max(
            self._out_until_s.get(source, now_s), self._in_until_s.get(destination, now_s)
        )
        return max(0.0, until_s - now_s)

    def begin(
        self,
        now_s: float,
        engine: EngineConfig,
        source: Runner,
        destination: Runner,
        tokens: float,
    ) -> None:
        """Record that a copy of `tokens` is started."""
        copy_s = copy_time_s(engine, tokens, near=source.zone == destination.zone)
        until_s = now_s + self.wait_s(now_s, source.id, destination.id) + copy_s
        self._out_until_s[source.id] = self._in_until_s[destination.id] = until_s

    def retain(self, kept: set[RunnerId]) -> None:
        """Forget engines that are not in `kept`."""
        for until_s in (self._out_until_s, self._in_until_s):
            for runner_id in set(until_s) - kept:
                del until_s[runner_id]
