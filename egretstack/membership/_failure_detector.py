"""Finds neighbours that do not answer, with patience for those that were accused wrongly."""

from dataclasses import dataclass, field

from egretstack.ids import InstanceId

SUSPECT_MISSES = 3
"""Heartbeats in a row without an answer after which a neighbour is suspected."""
MAX_SUSPECT_MISSES = 48
CALM_PERIOD_S = 60.0
"""Time without a wrong suspicion after which the patience with a neighbour is halved."""
ISOLATED_AFTER_S = 3.0
"""Silence of all others after which this process takes itself for the one cut off."""
LIST_READ_TTL_S = 10.0


@dataclass
class _PeerState:
    misses: int = 0
    miss_limit: int = SUSPECT_MISSES
    limit_changed_s: float = 0.0


@dataclass
class FailureDetector:
    """Counts missed answers. All times are on the runtime's clock."""

    _state_by_peer: dict[InstanceId, _PeerState] = field(default_factory=dict)
    _last_message_s: float = float("-inf")
    _list_read_s: float = float("-inf")

    def record_message(self, now_s: float, peer: InstanceId) -> None:
        """A message came from a peer."""
        self._last_message_s = now_s

    def record_answer(self, now_s: float, peer: InstanceId) -> None:
        """A peer answered a heartbeat."""
        self._last_message_s = now_s
        watch = self._state(peer)
        watch.misses = 0
        if watch.miss_limit > SUSPECT_MISSES and now_s - watch.limit_changed_s > CALM_PERIOD_S:
            watch.miss_limit = max(SUSPECT_MISSES, watch.miss_limit // 2)
            watch.limit_changed_s = now_s

    def record_list_read(self, now_s: float) -> None:
        """The platform's list was read; since the silence began, that proves that the way out
        of this process works."""
        self._list_read_s = now_s

    def record_miss(self, now_s: float, peer: InstanceId) -> bool:
        """A heartbeat got no answer; True if the peer is to be suspected now."""
        watch = self._state(peer)
        watch.misses += 1
        if self._is_isolated(now_s):
            return False
        return watch.misses >= watch.miss_limit

    def is_responsive(self, peer: InstanceId) -> bool:
        """Tell whether the peer answered the last heartbeat, or has not been asked."""
        return self._state(peer).misses == 0

    def record_false_suspicion(self, now_s: float, peer: InstanceId) -> None:
        """A peer that was suspected here answered the suspicion: be more patient with it.

        Where only the way between these two is cut, this one would accuse the other every few
        seconds for as long as the cut lasts, and every accusation is news to the whole fleet.
        """
        watch = self._state(peer)
        watch.misses = 0
        watch.miss_limit = min(MAX_SUSPECT_MISSES, watch.miss_limit * 2)
        watch.limit_changed_s = now_s

    def reset_misses(self) -> None:
        """This process was frozen: what it missed says nothing about the others."""
        for watch in self._state_by_peer.values():
            watch.misses = 0

    def retain(self, peers: set[InstanceId]) -> None:
        """Forget all peers but these."""
        for peer in self._state_by_peer.keys() - peers:
            del self._state_by_peer[peer]

    def _is_isolated(self, now_s: float) -> bool:
        # Cut off from all, this process would accuse every neighbour, though the fault is its own.
        quiet = now_s - self._last_message_s > ISOLATED_AFTER_S
        reads = (
            self._list_read_s > self._last_message_s
            and now_s - self._list_read_s <= LIST_READ_TTL_S
        )
        return quiet and not reads

    def _state(self, peer: InstanceId) -> _PeerState:
        return self._state_by_peer.setdefault(peer, _PeerState())
