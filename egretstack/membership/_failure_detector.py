"""Detects neighbours that do not answer; waits longer for those that were suspected wrongly."""

from dataclasses import dataclass, field

from egretstack.ids import InstanceId

SUSPECT_MISSES = 3
"""Heartbeats in a row without an answer after which a neighbour is suspected."""
MAX_SUSPECT_MISSES = 48
CALM_PERIOD_S = 60.0
"""Time without a wrong suspicion after which a raised limit of misses is halved."""
ISOLATED_AFTER_S = 3.0
"""Time without messages from any other instance after which this process assumes that it is the one
cut off."""
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
        """Record that a message came from a peer."""
        self._last_message_s = now_s

    def record_answer(self, now_s: float, peer: InstanceId) -> None:
        """Record that a peer answered a heartbeat."""
        self._last_message_s = now_s
        state = self._state(peer)
        state.misses = 0
        if state.miss_limit > SUSPECT_MISSES and now_s - state.limit_changed_s > CALM_PERIOD_S:
            state.miss_limit = max(SUSPECT_MISSES, state.miss_limit // 2)
            state.limit_changed_s = now_s

    def record_list_read(self, now_s: float) -> None:
        """Record that the platform's list was read.

        If that was after the last message of a peer, it proves that the network connection of this
        process works.
        """
        self._list_read_s = now_s

    def record_miss(self, now_s: float, peer: InstanceId) -> bool:
        """Record that a heartbeat got no answer; return whether to suspect the peer now."""
        state = self._state(peer)
        state.misses += 1
        if self._is_isolated(now_s):
            return False
        return state.misses >= state.miss_limit

    def is_responsive(self, peer: InstanceId) -> bool:
        """Return whether the peer answered the last heartbeat, or got none yet."""
        return self._state(peer).misses == 0

    def record_false_suspicion(self, now_s: float, peer: InstanceId) -> None:
        """Double the limit of misses for a peer that refuted the suspicion of this process.

        Where only the path between these two is cut, this process would otherwise suspect the other
        every few seconds for as long as the cut lasts, and every suspicion is sent to the whole
        fleet.
        """
        state = self._state(peer)
        state.misses = 0
        state.miss_limit = min(MAX_SUSPECT_MISSES, state.miss_limit * 2)
        state.limit_changed_s = now_s

    def reset_misses(self) -> None:
        """Reset the misses after a pause of this process: they say nothing about the others."""
        for state in self._state_by_peer.values():
            state.misses = 0

    def retain(self, peers: set[InstanceId]) -> None:
        """Drop the state of all peers but those given."""
        for peer in self._state_by_peer.keys() - peers:
            del self._state_by_peer[peer]

    def _is_isolated(self, now_s: float) -> bool:
        # A process that is cut off from all would suspect every neighbour, though the fault is its
        # own.
        no_messages = now_s - self._last_message_s > ISOLATED_AFTER_S
        list_read = (
            self._list_read_s > self._last_message_s
            and now_s - self._list_read_s <= LIST_READ_TTL_S
        )
        return no_messages and not list_read

    def _state(self, peer: InstanceId) -> _PeerState:
        return self._state_by_peer.setdefault(peer, _PeerState())
