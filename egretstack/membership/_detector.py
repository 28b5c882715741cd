"""Finds neighbours that do not answer, with patience for those that were accused wrongly."""

from dataclasses import dataclass, field

from egretstack.ids import InstanceId

MISSES = 3
"""Heartbeats in a row without an answer after which a neighbour is suspected."""
MAX_MISSES = 48
CALM_S = 60.0
"""Time without a wrong suspicion after which the patience with a neighbour is halved."""
ALONE_S = 3.0
"""Silence of all others after which this process takes itself for the one cut off."""
LIST_PROOF_S = 10.0


@dataclass
class _Watch:
    misses: int = 0
    patience: int = MISSES
    changed_s: float = 0.0


@dataclass
class Detector:
    """Counts missed answers. All times are on the runtime's clock."""

    _watch_by_peer: dict[InstanceId, _Watch] = field(default_factory=dict)
    _heard_s: float = float("-inf")
    _listed_s: float = float("-inf")

    def heard(self, now_s: float, peer: InstanceId) -> None:
        """A message came from a peer."""
        self._heard_s = now_s

    def answered(self, now_s: float, peer: InstanceId) -> None:
        """A peer answered a heartbeat."""
        self._heard_s = now_s
        watch = self._watch(peer)
        watch.misses = 0
        if watch.patience > MISSES and now_s - watch.changed_s > CALM_S:
            watch.patience = max(MISSES, watch.patience // 2)
            watch.changed_s = now_s

    def listed(self, now_s: float) -> None:
        """The platform's list was read; since the silence began, that proves that the way out
        of this process works."""
        self._listed_s = now_s

    def missed(self, now_s: float, peer: InstanceId) -> bool:
        """A heartbeat got no answer; True if the peer is to be suspected now."""
        watch = self._watch(peer)
        watch.misses += 1
        if self._alone(now_s):
            return False
        return watch.misses >= watch.patience

    def is_well(self, peer: InstanceId) -> bool:
        """Tell whether the peer answered the last heartbeat, or has not been asked."""
        return self._watch(peer).misses == 0

    def wronged(self, now_s: float, peer: InstanceId) -> None:
        """A peer that was suspected here answered the suspicion: be more patient with it.

        Where only the way between these two is cut, this one would accuse the other every few
        seconds for as long as the cut lasts, and every accusation is news to the whole fleet.
        """
        watch = self._watch(peer)
        watch.misses = 0
        watch.patience = min(MAX_MISSES, watch.patience * 2)
        watch.changed_s = now_s

    def thawed(self) -> None:
        """This process was frozen: what it missed says nothing about the others."""
        for watch in self._watch_by_peer.values():
            watch.misses = 0

    def forget(self, peers: set[InstanceId]) -> None:
        """Forget all peers but these."""
        for peer in self._watch_by_peer.keys() - peers:
            del self._watch_by_peer[peer]

    def _alone(self, now_s: float) -> bool:
        # Cut off from all, this process would accuse every neighbour, though the fault is its own.
        quiet = now_s - self._heard_s > ALONE_S
        reads = self._listed_s > self._heard_s and now_s - self._listed_s <= LIST_PROOF_S
        return quiet and not reads

    def _watch(self, peer: InstanceId) -> _Watch:
        return self._watch_by_peer.setdefault(peer, _Watch())
